package postgrade.settings;

/**
 * Thrown when a setting is missing or has an invalid value. The message begins with the key of the
 * setting.
 */
public final class InvalidSettingException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    private final String key;

    InvalidSettingException(String key, String problem) {
        this(key, problem, null);
    }

    InvalidSettingException(String key, String problem, Throwable cause) {
        super(key + " " + problem, cause);
        this.key = key;
    }

    /** Returns the key of the setting, as in the simulator's ATTACH message. */
    public String key() {
        return key;
    }
}

package postgrade.settings;

/** A setting is missing or cannot be used. The message begins with its key. */
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

    /** The key of the setting, as in the simulator's ATTACH message. */
    public String key() {
        return key;
    }
}

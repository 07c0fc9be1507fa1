package postgrade.daemon;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads and validates a dispatcher's configuration as a start would, without starting. */
public final class ConfigCheck {

    /**
     * One setting in force: its key, its value and its origin (the file, a variable or a default).
     */
    public record Setting(String key, String value, String origin) {}

    private ConfigCheck() {}

    /**
     * Returns the settings that a dispatcher started with this file would use.
     *
     * @param environment stands in for the process environment, with {@code ROUTER_NAME} and the
     *     other variables
     * @throws IllegalArgumentException if a dispatcher could not start with the configuration; the
     *     message names the key
     */
    public static List<Setting> effectiveSettings(Path file, Map<String, String> environment) {
        Map<String, String> variables = new HashMap<>(environment);
        variables.put("ROUTER_CONFIG", file.toString());
        try {
            return Config.read(variables).effectiveSettings().stream()
                    .map(e -> new Setting(e.key(), String.valueOf(e.value()), e.origin()))
                    .toList();
        } catch (Config.InvalidConfigException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }
}

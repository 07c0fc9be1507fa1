package postgrade.daemon;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads a dispatcher's configuration as a start would, without starting. */
public final class ConfigCheck {

    /**
     * One setting in force: its key, its value and where that came from (the file, a variable, a
     * default).
     */
    public record Setting(String key, String value, String origin) {}

    private ConfigCheck() {}

    /**
     * @param environment what {@code ROUTER_NAME} and the like would be
     * @throws IllegalArgumentException for a configuration that cannot be started with; names the
     *     key
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

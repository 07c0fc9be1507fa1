package postgrade.daemon;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postgrade.discovery.AddressFormat;
import postgrade.policy.api.JobClass;

/** One setting in force and its origin. */
record EffectiveSetting(String key, Object value, String origin) {

    /**
     * Returns all settings in force, in the order of the operators' page.
     *
     * @param json the content of the file
     * @param flatSettings the file's {@code settings} by full key
     */
    static List<EffectiveSetting> allOf(
            Config config, JsonObject json, Map<String, String> flatSettings) {
        List<EffectiveSetting> settings = new ArrayList<>();
        settings.add(
                new EffectiveSetting("name", config.name, origin(json, "name", "ROUTER_NAME")));
        settings.add(
                new EffectiveSetting(
                        "listen",
                        AddressFormat.format(config.listenAddress),
                        origin(json, "listen", "ROUTER_LISTEN")));
        settings.add(
                new EffectiveSetting(
                        "discovery",
                        AddressFormat.format(config.discoveryAddress),
                        origin(json, "discovery", "ROUTER_DISCOVERY")));
        settings.add(
                new EffectiveSetting(
                        "operator",
                        config.operatorAddress == null
                                ? "none"
                                : AddressFormat.format(config.operatorAddress),
                        config.operatorAddress == null
                                ? "default"
                                : origin(json, "operator", "ROUTER_OPERATOR")));
        settings.add(
                new EffectiveSetting(
                        "sharing",
                        config.sharingScript == null ? "none" : config.sharingScript,
                        config.sharingScript == null
                                ? "default"
                                : origin(json, "sharing", "ROUTER_SHARING")));
        settings.add(
                new EffectiveSetting(
                        "seed",
                        Long.toHexString(config.seed),
                        json.get("seed") == null ? "the clock" : "file"));
        settings.add(
                new EffectiveSetting(
                        "limits.sockets",
                        config.descriptorLimit(),
                        json.get("limits") != null
                                        && json.get("limits").asObject().get("sockets") != null
                                ? "file"
                                : "default"));
        settings.add(
                new EffectiveSetting(
                        "known",
                        config.cachedWorkers == null
                                ? "none"
                                : config.cachedWorkers.workers().size() + " workers",
                        config.cachedWorkers == null ? "default" : "file"));
        settings.add(fromFlatSettings(flatSettings, "limits.mostHeld", config.maxHeldJobs));
        settings.add(
                fromFlatSettings(
                        flatSettings,
                        "limits.connectTimeoutNs",
                        config.connectTimeoutMicros * 1000));
        settings.add(
                fromFlatSettings(
                        flatSettings, "limits.connIdleNs", config.idleTimeoutMicros * 1000));
        for (int i = 0; i < config.settings.classes.size(); i++) {
            JobClass jobClass = config.settings.classes.get(i);
            String prefix = "classes." + i + ".";
            settings.add(fromFlatSettings(flatSettings, prefix + "name", jobClass.name()));
            settings.add(
                    fromFlatSettings(
                            flatSettings,
                            prefix + "idempotency",
                            flatSettings.get(prefix + "idempotency")));
            settings.add(
                    fromFlatSettings(
                            flatSettings, prefix + "onTimeNs", jobClass.latencyObjectiveNs()));
            settings.add(
                    fromFlatSettings(
                            flatSettings,
                            prefix + "deadlineNs",
                            config.deadlineMicros.get(jobClass.name()) * 1000));
            settings.add(
                    fromFlatSettings(
                            flatSettings, prefix + "importance", jobClass.priorityWeight()));
        }
        for (int i = 0; i < config.settings.tenants.size(); i++) {
            settings.add(
                    fromFlatSettings(
                            flatSettings,
                            "tenants." + i + ".name",
                            config.settings.tenants.get(i).name()));
            settings.add(
                    fromFlatSettings(
                            flatSettings,
                            "tenants." + i + ".quotaPerS",
                            config.settings.tenants.get(i).ratePerS()));
        }
        settings.add(
                fromFlatSettings(flatSettings, "limits.maxAttempts", config.settings.maxAttempts));
        settings.add(
                fromFlatSettings(
                        flatSettings,
                        "limits.mayDuplicate",
                        config.settings.allowsConcurrentAttempts));
        return settings;
    }

    private static EffectiveSetting fromFlatSettings(
            Map<String, String> flatSettings, String key, Object value) {
        return new EffectiveSetting(
                "settings." + key, value, flatSettings.containsKey(key) ? "file" : "default");
    }

    private static String origin(JsonObject json, String key, String variable) {
        return json.get(key) != null && json.get(key).isString() ? "file" : variable;
    }
}

package postgrade.daemon;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postgrade.discovery.AddressFormat;
import postgrade.policy.api.JobClass;

/** One setting as it is in force, and where it came from. */
record Effective(String key, Object value, String origin) {

    /**
     * All that are in force, in the order of the operators' page.
     *
     * @param json and {@code pairs}: what the file says, of {@code settings} by full names
     */
    static List<Effective> of(Config c, JsonObject json, Map<String, String> pairs) {
        List<Effective> all = new ArrayList<>();
        all.add(new Effective("name", c.name, origin(json, "name", "ROUTER_NAME")));
        all.add(
                new Effective(
                        "listen",
                        AddressFormat.format(c.listen),
                        origin(json, "listen", "ROUTER_LISTEN")));
        all.add(
                new Effective(
                        "discovery",
                        AddressFormat.format(c.discovery),
                        origin(json, "discovery", "ROUTER_DISCOVERY")));
        all.add(
                new Effective(
                        "operator",
                        c.operator == null ? "none" : AddressFormat.format(c.operator),
                        c.operator == null
                                ? "default"
                                : origin(json, "operator", "ROUTER_OPERATOR")));
        all.add(
                new Effective(
                        "sharing",
                        c.sharing == null ? "none" : c.sharing,
                        c.sharing == null ? "default" : origin(json, "sharing", "ROUTER_SHARING")));
        all.add(
                new Effective(
                        "seed",
                        Long.toHexString(c.seed),
                        json.get("seed") == null ? "the clock" : "file"));
        all.add(
                new Effective(
                        "limits.sockets",
                        c.descriptors(),
                        json.get("limits") != null
                                        && json.get("limits").asObject().get("sockets") != null
                                ? "file"
                                : "default"));
        all.add(
                new Effective(
                        "known",
                        c.known == null ? "none" : c.known.workers().size() + " workers",
                        c.known == null ? "default" : "file"));
        all.add(effective(pairs, "limits.mostHeld", c.mostHeld));
        all.add(effective(pairs, "limits.connectTimeoutNs", c.connectTimeoutMicros * 1000));
        all.add(effective(pairs, "limits.connIdleNs", c.idleTimeoutMicros * 1000));
        for (int i = 0; i < c.settings.classes.size(); i++) {
            JobClass k = c.settings.classes.get(i);
            String at = "classes." + i + ".";
            all.add(effective(pairs, at + "name", k.name()));
            all.add(effective(pairs, at + "idempotency", pairs.get(at + "idempotency")));
            all.add(effective(pairs, at + "onTimeNs", k.latencyObjectiveNs()));
            all.add(effective(pairs, at + "deadlineNs", c.deadlineMicros.get(k.name()) * 1000));
            all.add(effective(pairs, at + "importance", k.priorityWeight()));
        }
        for (int i = 0; i < c.settings.tenants.size(); i++) {
            all.add(effective(pairs, "tenants." + i + ".name", c.settings.tenants.get(i).name()));
            all.add(
                    effective(
                            pairs,
                            "tenants." + i + ".quotaPerS",
                            c.settings.tenants.get(i).ratePerS()));
        }
        all.add(effective(pairs, "limits.maxAttempts", c.settings.maxAttempts));
        all.add(effective(pairs, "limits.mayDuplicate", c.settings.allowsConcurrentAttempts));
        return all;
    }

    private static Effective effective(Map<String, String> pairs, String key, Object value) {
        return new Effective("settings." + key, value, pairs.containsKey(key) ? "file" : "default");
    }

    private static String origin(JsonObject json, String key, String variable) {
        return json.get(key) != null && json.get(key).isString() ? "file" : variable;
    }
}

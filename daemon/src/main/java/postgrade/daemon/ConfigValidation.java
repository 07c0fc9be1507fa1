package postgrade.daemon;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/** Checks of the configuration's JSON beyond those of its readers. */
final class ConfigValidation {

    /** Far above any deadline in nanoseconds, and still exact in a double. */
    private static final double MAX_WHOLE_NUMBER = 1e15;

    private ConfigValidation() {}

    /** Requires each key of the object or list in force to be present in the new one. */
    static void requireKeys(JsonValue inForce, JsonValue next, String path)
            throws Config.InvalidConfigException {
        if (inForce.isObject()) {
            for (JsonObject.Member member : inForce.asObject()) {
                String key = path.isEmpty() ? member.getName() : path + "." + member.getName();
                JsonValue value = next.isObject() ? next.asObject().get(member.getName()) : null;
                if (value == null || value.isNull() && !member.getValue().isNull()) {
                    throw new Config.InvalidConfigException(
                            key, "missing, but present in the configuration in force");
                }
                // The cached worker list may hold anything, and matters at a start alone.
                if (!key.equals("known")) {
                    requireKeys(member.getValue(), value, key);
                }
            }
        } else if (inForce.isArray() && next.isArray()) {
            JsonObject common = commonMembers(inForce.asArray());
            for (int i = 0; i < next.asArray().size(); i++) {
                requireKeys(common, next.asArray().get(i), path + "." + i);
            }
        } else if (inForce.isArray()) {
            throw new Config.InvalidConfigException(path, "must be a list");
        }
    }

    /**
     * Returns the members that all objects of a list have: classes and tenants may be added and
     * removed, and some may have more members than others.
     */
    private static JsonObject commonMembers(JsonArray list) {
        JsonObject common = null;
        for (JsonValue element : list) {
            if (!element.isObject()) {
                return Json.object();
            }
            common = common == null ? new JsonObject(element.asObject()) : common;
            for (String name : new ArrayList<>(common.names())) {
                if (element.asObject().get(name) == null) {
                    common.remove(name);
                }
            }
        }
        return common == null ? Json.object() : common;
    }

    /**
     * Requires a whole JSON number above 0, as for a deadline or a number of attempts, which are
     * calculated with.
     */
    private static void requirePositiveWhole(JsonObject object, String key, String prefix)
            throws Config.InvalidConfigException {
        JsonValue value = object.get(key);
        if (value != null
                && !(value.isNumber()
                        && value.asDouble() >= 1
                        && value.asDouble() <= MAX_WHOLE_NUMBER
                        && value.asDouble() == Math.rint(value.asDouble()))) {
            throw new Config.InvalidConfigException(
                    prefix + key, "must be a whole number above 0, not " + value);
        }
    }

    static void requirePositiveWholeNumbers(JsonObject settings)
            throws Config.InvalidConfigException {
        if (settings.get("classes") == null || !settings.get("classes").isArray()) {
            throw new Config.InvalidConfigException("settings.classes", "must be a list");
        }
        List<String> names = new ArrayList<>();
        for (JsonValue jobClass : settings.get("classes").asArray()) {
            String prefix = "settings.classes." + names.size() + ".";
            if (!jobClass.isObject()) {
                throw new Config.InvalidConfigException(
                        "settings.classes." + names.size(), "must be an object");
            }
            requirePositiveWhole(jobClass.asObject(), "deadlineNs", prefix);
            String name = String.valueOf(jobClass.asObject().get("name"));
            if (names.contains(name)) {
                throw new Config.InvalidConfigException(
                        prefix + "name", "two classes have the name " + name);
            }
            names.add(name);
        }
        JsonValue limits = settings.get("limits");
        if (limits != null && limits.isObject()) {
            requirePositiveWhole(limits.asObject(), "maxAttempts", "settings.limits.");
        }
    }
}

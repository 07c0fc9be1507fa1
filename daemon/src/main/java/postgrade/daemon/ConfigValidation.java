package postgrade.daemon;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/** What a configuration's JSON has to have beyond what its readers ask for. */
final class ConfigValidation {

    /** Far beyond any deadline; a double still counts each. */
    private static final double MAX_WHOLE_NUMBER = 1e15;

    private ConfigValidation() {}

    /** Each key that a list or object in force has, the new one has too. */
    static void requireKeys(JsonValue inForce, JsonValue next, String path)
            throws Config.InvalidConfigException {
        if (inForce.isObject()) {
            for (JsonObject.Member member : inForce.asObject()) {
                String key = path.isEmpty() ? member.getName() : path + "." + member.getName();
                JsonValue value = next.isObject() ? next.asObject().get(member.getName()) : null;
                if (value == null || value.isNull() && !member.getValue().isNull()) {
                    throw new Config.InvalidConfigException(
                            key, "missing, though the file in force has it");
                }
                if (!key.equals(
                        "known")) { // A list of workers may be any, and concerns a start alone.
                    requireKeys(member.getValue(), value, key);
                }
            }
        } else if (inForce.isArray() && next.isArray()) {
            JsonObject common = commonMembers(inForce.asArray());
            for (int i = 0; i < next.asArray().size(); i++) {
                requireKeys(common, next.asArray().get(i), path + "." + i);
            }
        } else if (inForce.isArray()) {
            throw new Config.InvalidConfigException(path, "a list is needed");
        }
    }

    /**
     * What all the objects of a list have: classes and tenants may come and go, and some may have
     * more than others.
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
     * Guards what is counted with them: a deadline or a number of attempts is a number of JSON,
     * whole and above 0.
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
                    prefix + key, "has to be a whole number above 0, not " + value);
        }
    }

    static void requirePositiveWholeNumbers(JsonObject settings)
            throws Config.InvalidConfigException {
        if (settings.get("classes") == null || !settings.get("classes").isArray()) {
            throw new Config.InvalidConfigException("settings.classes", "a list is needed");
        }
        List<String> names = new ArrayList<>();
        for (JsonValue jobClass : settings.get("classes").asArray()) {
            String prefix = "settings.classes." + names.size() + ".";
            if (!jobClass.isObject()) {
                throw new Config.InvalidConfigException(
                        "settings.classes." + names.size(), "an object is needed");
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

package postgrade.daemon;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/** What a configuration's JSON has to have beyond what its readers ask for. */
final class Required {

    /** Far beyond any deadline; a double still counts each. */
    private static final double MOST_WHOLE = 1e15;

    private Required() {}

    /** Each key that a list or object in force has, the new one has too. */
    static void requireKeys(JsonValue had, JsonValue has, String at)
            throws Config.InvalidConfigException {
        if (had.isObject()) {
            for (JsonObject.Member m : had.asObject()) {
                String key = at.isEmpty() ? m.getName() : at + "." + m.getName();
                JsonValue value = has.isObject() ? has.asObject().get(m.getName()) : null;
                if (value == null || value.isNull() && !m.getValue().isNull()) {
                    throw new Config.InvalidConfigException(
                            key, "missing, though the file in force has it");
                }
                if (!key.equals(
                        "known")) { // A list of workers may be any, and concerns a start alone.
                    requireKeys(m.getValue(), value, key);
                }
            }
        } else if (had.isArray() && has.isArray()) {
            JsonObject common = common(had.asArray());
            for (int i = 0; i < has.asArray().size(); i++) {
                requireKeys(common, has.asArray().get(i), at + "." + i);
            }
        } else if (had.isArray()) {
            throw new Config.InvalidConfigException(at, "a list is needed");
        }
    }

    /**
     * What all the objects of a list have: classes and tenants may come and go, and some may have
     * more than others.
     */
    private static JsonObject common(JsonArray list) {
        JsonObject common = null;
        for (JsonValue v : list) {
            if (!v.isObject()) {
                return Json.object();
            }
            common = common == null ? new JsonObject(v.asObject()) : common;
            for (String name : new ArrayList<>(common.names())) {
                if (v.asObject().get(name) == null) {
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
    private static void requireWhole(JsonObject in, String key, String at)
            throws Config.InvalidConfigException {
        JsonValue value = in.get(key);
        if (value != null
                && !(value.isNumber()
                        && value.asDouble() >= 1
                        && value.asDouble() <= MOST_WHOLE
                        && value.asDouble() == Math.rint(value.asDouble()))) {
            throw new Config.InvalidConfigException(
                    at + key, "has to be a whole number above 0, not " + value);
        }
    }

    static void requireWholeNumbers(JsonObject given) throws Config.InvalidConfigException {
        if (given.get("classes") == null || !given.get("classes").isArray()) {
            throw new Config.InvalidConfigException("settings.classes", "a list is needed");
        }
        List<String> names = new ArrayList<>();
        for (JsonValue v : given.get("classes").asArray()) {
            String at = "settings.classes." + names.size() + ".";
            if (!v.isObject()) {
                throw new Config.InvalidConfigException(
                        "settings.classes." + names.size(), "an object is needed");
            }
            requireWhole(v.asObject(), "deadlineNs", at);
            String name = String.valueOf(v.asObject().get("name"));
            if (names.contains(name)) {
                throw new Config.InvalidConfigException(
                        at + "name", "two classes have the name " + name);
            }
            names.add(name);
        }
        JsonValue limits = given.get("limits");
        if (limits != null && limits.isObject()) {
            requireWhole(limits.asObject(), "maxAttempts", "settings.limits.");
        }
    }
}

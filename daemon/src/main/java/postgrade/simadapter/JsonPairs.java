package postgrade.simadapter;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;

/** Turns nested JSON settings into the flat pairs that the simulator's wire carries. */
public final class JsonPairs {

    private JsonPairs() {}

    /** Pairs of paths and plain values, in the form that the settings' reader takes. */
    public static Map<String, String> of(JsonObject json) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", json, pairs);
        return pairs;
    }

    /**
     * Objects become paths, lists of objects a count and numbered paths, plain lists comma-joined
     * text.
     */
    private static void flatten(String path, JsonValue value, Map<String, String> pairs) {
        if (value.isObject()) {
            for (JsonObject.Member m : value.asObject()) {
                flatten(
                        path.isEmpty() ? m.getName() : path + "." + m.getName(),
                        m.getValue(),
                        pairs);
            }
        } else if (value.isArray() && holdsObjects(value.asArray())) {
            pairs.put(path + ".count", Integer.toString(value.asArray().size()));
            for (int i = 0; i < value.asArray().size(); i++) {
                flatten(path + "." + i, value.asArray().get(i), pairs);
            }
        } else if (value.isArray()) {
            StringJoiner joined = new StringJoiner(",");
            value.asArray().forEach(v -> joined.add(plain(v)));
            pairs.put(path, joined.toString());
        } else if (!value.isNull()) {
            pairs.put(path, plain(value));
        }
    }

    private static boolean holdsObjects(JsonArray array) {
        return !array.isEmpty() && array.get(0).isObject();
    }

    private static String plain(JsonValue value) {
        return value.isString() ? value.asString() : value.toString();
    }
}

package postgrade.simadapter;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;

/** Flattens nested JSON settings into the key-value pairs used by the simulator's protocol. */
public final class JsonPairs {

    private JsonPairs() {}

    /** Returns pairs of paths and scalar values, as the settings reader accepts them. */
    public static Map<String, String> of(JsonObject json) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", json, pairs);
        return pairs;
    }

    /**
     * Objects become paths, lists of objects a count and numbered paths, and lists of scalars
     * comma-separated text.
     */
    private static void flatten(String path, JsonValue value, Map<String, String> pairs) {
        if (value.isObject()) {
            for (JsonObject.Member member : value.asObject()) {
                flatten(
                        path.isEmpty() ? member.getName() : path + "." + member.getName(),
                        member.getValue(),
                        pairs);
            }
        } else if (value.isArray() && containsObjects(value.asArray())) {
            pairs.put(path + ".count", Integer.toString(value.asArray().size()));
            for (int i = 0; i < value.asArray().size(); i++) {
                flatten(path + "." + i, value.asArray().get(i), pairs);
            }
        } else if (value.isArray()) {
            StringJoiner joined = new StringJoiner(",");
            value.asArray().forEach(v -> joined.add(plainText(v)));
            pairs.put(path, joined.toString());
        } else if (!value.isNull()) {
            pairs.put(path, plainText(value));
        }
    }

    private static boolean containsObjects(JsonArray array) {
        return !array.isEmpty() && array.get(0).isObject();
    }

    private static String plainText(JsonValue value) {
        return value.isString() ? value.asString() : value.toString();
    }
}

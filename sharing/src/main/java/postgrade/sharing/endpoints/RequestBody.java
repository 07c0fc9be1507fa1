package postgrade.sharing.endpoints;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import postgrade.json.InvalidJsonException;
import postgrade.json.JsonReader;

/** Parses the body of an operator's call. Each error is one sentence that names the field. */
final class RequestBody {

    private static final String REQUEST_ID = "requestId";
    private static final int MAX_ID_LENGTH = 100;

    private RequestBody() {}

    /** A call whose body is invalid. */
    static final class InvalidRequestException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidRequestException(String message) {
            super(message, null, false, false);
        }
    }

    static JsonObject parse(byte[] body) {
        JsonValue json;
        try {
            json =
                    JsonReader.read(
                            StandardCharsets.UTF_8
                                    .newDecoder()
                                    .decode(java.nio.ByteBuffer.wrap(body))
                                    .toString());
        } catch (CharacterCodingException e) {
            throw new InvalidRequestException("body is not UTF-8");
        } catch (InvalidJsonException e) {
            throw new InvalidRequestException("body is not JSON: " + e.getMessage());
        }
        if (!json.isObject()) {
            throw new InvalidRequestException("body has to be an object");
        }
        JsonObject object = json.asObject();
        for (String name : object.names()) {
            if (object.names().stream().filter(name::equals).count() > 1) {
                throw new InvalidRequestException(name + " stands there twice");
            }
        }
        return object;
    }

    /** Returns all fields except the request id as text, whole numbers and booleans included. */
    static Map<String, String> fieldTexts(JsonObject object) {
        Map<String, String> fields = new TreeMap<>();
        for (JsonObject.Member m : object) {
            if (!m.getName().equals(REQUEST_ID)) {
                fields.put(m.getName(), text(m.getName(), m.getValue()));
            }
        }
        return fields;
    }

    private static String text(String name, JsonValue v) {
        if (v.isString()) {
            return v.asString();
        }
        if (v.isBoolean()) {
            return v.isTrue() ? "1" : "0";
        }
        if (v.isNumber()) {
            return v.toString();
        }
        throw new InvalidRequestException(name + " has to be text, a number or a truth value");
    }

    /**
     * Returns the request id, which is the same for a repeated call; empty if the caller gives
     * none.
     */
    static String requestId(JsonObject object) {
        JsonValue id = object.get(REQUEST_ID);
        if (id == null) {
            return "";
        }
        if (!id.isString() || id.asString().isEmpty() || id.asString().length() > MAX_ID_LENGTH) {
            throw new InvalidRequestException(
                    REQUEST_ID + " has to be text of 1 to " + MAX_ID_LENGTH + " characters");
        }
        return id.asString();
    }

    static String requiredText(JsonObject object, String name) {
        JsonValue v = object.get(name);
        if (v == null || !v.isString()) {
            throw new InvalidRequestException(
                    name + (v == null ? " is missing" : " has to be text"));
        }
        return v.asString();
    }
}

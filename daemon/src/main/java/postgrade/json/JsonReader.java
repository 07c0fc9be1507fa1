package postgrade.json;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads JSON documents that come from outside the process. It does not recurse, so that nesting in
 * a text takes no space on the stack of the thread that reads it.
 *
 * <p>The methods of a value that visit what it contains, such as {@code toString} and {@code
 * equals}, do recurse, and so do the messages of its accessors. The values returned here are
 * therefore nested to {@link #MAX_DEPTH} levels at most.
 */
public final class JsonReader {

    /**
     * Arrays and objects within so many others are read over and stand as null. Documents that this
     * program uses nest to a few levels; what lies deeper is of members that it ignores.
     */
    static final int MAX_DEPTH = 64;

    /** Whoever receives a text limits its length, and with it all that can be in it. */
    private static final StreamReadConstraints UNLIMITED =
            StreamReadConstraints.builder()
                    .maxNestingDepth(Integer.MAX_VALUE)
                    .maxNameLength(Integer.MAX_VALUE)
                    .maxNumberLength(Integer.MAX_VALUE)
                    .maxStringLength(Integer.MAX_VALUE)
                    .build();

    /** Keeps no names of one document for the next, which a peer could fill with its own. */
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(UNLIMITED)
                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .build();

    private final JsonParser parser;
    private final String textMember;

    /** The arrays and objects that have begun and not ended yet, the innermost first. */
    private final Deque<JsonValue> open = new ArrayDeque<>();

    private JsonReader(JsonParser parser, String textMember) {
        this.parser = parser;
        this.textMember = textMember;
    }

    /**
     * Reads a document.
     *
     * @throws InvalidJsonException if the text is not one JSON document
     */
    public static JsonValue read(String text) {
        return read(text, null);
    }

    /**
     * Reads a document in which one member of the outermost object may hold anything.
     *
     * @param textMember the name of that member. An array or object there is returned as a string,
     *     its JSON text without white space, whole whatever its nesting. Null for no member.
     * @throws InvalidJsonException if the text is not one JSON document
     */
    public static JsonValue read(String text, String textMember) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return new JsonReader(parser, textMember).readDocument();
        } catch (JsonProcessingException e) {
            throw new InvalidJsonException(
                    e.getOriginalMessage()
                            + " at "
                            + e.getLocation().getLineNr()
                            + ":"
                            + e.getLocation().getColumnNr());
        } catch (IOException e) {
            throw new InvalidJsonException("cannot be read: " + e);
        }
    }

    private JsonValue readDocument() throws IOException {
        JsonToken first = parser.nextToken();
        if (first == null) {
            throw new InvalidJsonException("the document is empty");
        }
        JsonValue document = startValue(first);
        while (!open.isEmpty()) {
            readToken(parser.nextToken());
        }
        if (parser.nextToken() != null) {
            throw new InvalidJsonException("the document is followed by a further value");
        }
        return document;
    }

    private void readToken(JsonToken token) throws IOException {
        if (token.isStructEnd()) {
            open.pop();
            return;
        }
        if (token == JsonToken.FIELD_NAME) {
            return; // The parser still has it when the value comes.
        }
        JsonValue container = open.peek();
        String name = parser.currentName();
        JsonValue value = startValue(token);
        if (container.isObject()) {
            container.asObject().add(name, value);
        } else {
            container.asArray().add(value);
        }
    }

    /** Returns a value, an array or object as long as it is still empty. */
    private JsonValue startValue(JsonToken token) throws IOException {
        if (!token.isStructStart()) {
            return scalar(token);
        }
        if (open.size() == 1 && open.peek().isObject() && parser.currentName().equals(textMember)) {
            return Json.value(readAsText(token));
        }
        if (open.size() == MAX_DEPTH) {
            parser.skipChildren();
            return Json.NULL;
        }
        JsonValue container = token == JsonToken.START_ARRAY ? new JsonArray() : new JsonObject();
        open.push(container);
        return container;
    }

    private JsonValue scalar(JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> Json.value(parser.getText());
            case VALUE_TRUE -> Json.TRUE;
            case VALUE_FALSE -> Json.FALSE;
            case VALUE_NULL -> Json.NULL;
            // Keeps the number's own text, whatever its precision.
            default -> Json.parse(parser.getText());
        };
    }

    /** Reads the array or object that has just begun up to its end. */
    private String readAsText(JsonToken start) throws IOException {
        StringBuilder text = new StringBuilder();
        int depth = 0;
        boolean followsValue = false;
        JsonToken token = start;
        while (true) {
            if (followsValue && !token.isStructEnd()) {
                text.append(',');
            }
            if (token.isStructStart()) {
                text.append(token.asString());
                depth++;
            } else if (token.isStructEnd()) {
                text.append(token.asString());
                depth--;
            } else if (token == JsonToken.FIELD_NAME) {
                text.append(Json.value(parser.currentName())).append(':');
            } else {
                text.append(scalar(token));
            }
            if (depth == 0) {
                return text.toString();
            }
            followsValue = token.isStructEnd() || token.isScalarValue();
            token = parser.nextToken();
        }
    }
}

package postgrade.json;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.Test;

/** Documents are read without recursion, and otherwise as the library does. */
public class JsonReaderTest {

    /** The longest body that is taken from a client or worker. */
    private static final int BODY_CHARACTERS = 64 << 10;

    private static final long SMALL_STACK_BYTES = 192 << 10;

    /** Runs the task in a thread whose stack a recursion over such a body would not fit into. */
    private static <T> T onSmallStack(Supplier<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable guarded =
                () -> {
                    try {
                        result.complete(task.get());
                    } catch (Throwable e) {
                        result.completeExceptionally(e);
                    }
                };
        new Thread(null, guarded, "small stack", SMALL_STACK_BYTES).start();
        return result.get(20, TimeUnit.SECONDS);
    }

    /** Guards against a StackOverflowError, which ended the process, for a nested document. */
    @Test
    public void documentNestedToAnyDepthIsReadAndKeptWholeInTheTextMember() throws Exception {
        int arrays = BODY_CHARACTERS / 2;
        String array = "[".repeat(arrays) + "]".repeat(arrays);
        int objects = BODY_CHARACTERS / "{\"a\":}".length();
        String object = "{\"a\":".repeat(objects) + "0" + "}".repeat(objects);
        for (String nested : List.of(array, object)) {
            String document = "{\"result\":" + nested + ",\"b\":1}";
            JsonObject read = onSmallStack(() -> JsonReader.read(document, "result")).asObject();
            assertEquals(nested, read.getString("result", ""));
            assertEquals(1, read.getInt("b", 0));
        }
    }

    /** Guards against a StackOverflowError in the message of an accessor of a nested value. */
    @Test
    public void nestingBeyondTheLimitIsReadOver() throws Exception {
        String limit = "[".repeat(JsonReader.MAX_DEPTH) + "]".repeat(JsonReader.MAX_DEPTH);
        assertEquals(limit, JsonReader.read(limit).toString());
        String beyond = limit.replace("[]", "[[1,{\"a\":2}],3]");
        assertEquals(limit.replace("[]", "[null,3]"), JsonReader.read(beyond).toString());
        String nested = "[".repeat(BODY_CHARACTERS / 2) + "]".repeat(BODY_CHARACTERS / 2);
        JsonValue read = onSmallStack(() -> JsonReader.read(nested));
        assertThrows(UnsupportedOperationException.class, read::asString);
    }

    @Test
    public void validDocumentsAreReadAndTextsMadeAsTheLibraryDoes() {
        for (String text :
                List.of(
                        "{}",
                        " [ ] ",
                        "null",
                        "-0",
                        "1.50",
                        "123456789012345678901234567890",
                        "[1e400,-1E-2,0,true,false,null]",
                        "\"\"",
                        "\"\\u00e9\\n\\t\\r\\b\\f\\/\\\\\\\"\\u2028\\u0001\u00e9\\ud83d\\ude00\"",
                        "\"\ud800\"",
                        "{\"a\":[1,{\"b\":\"c\"},2],\"\":{},\"a\":2,\"\\u0041\\\"\":[[],[{},[]]]}",
                        "\n{\r\n \"id\" : \"x\" ,\t\"share\":0.40 }\n")) {
            JsonValue expected = Json.parse(text);
            assertEquals(text, expected, JsonReader.read(text));
            JsonObject read = JsonReader.read("{\"t\":[" + text + "]}", "t").asObject();
            assertEquals("[" + expected + "]", read.getString("t", ""));
        }
    }

    @Test
    public void whatIsNotOneDocumentIsInvalid() {
        for (String text :
                List.of(
                        "",
                        " ",
                        "{",
                        "[1,]",
                        "[1 2]",
                        "{\"a\"}",
                        "{a:1}",
                        "{\"a\":1,}",
                        "'a'",
                        "01",
                        "1.",
                        "+1",
                        ".5",
                        "NaN",
                        "nul",
                        "truex",
                        "\"a",
                        "\"\n\"",
                        "\"\\x\"",
                        "[]]",
                        "{} {}",
                        "[}",
                        "// c\n1",
                        "[".repeat(BODY_CHARACTERS))) {
            assertThrows(text, RuntimeException.class, () -> Json.parse(text));
            assertThrows(text, InvalidJsonException.class, () -> JsonReader.read(text));
        }
    }
}

package postgrade.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;

class ScriptTest {

    private static final Map<String, Object> EQ =
            Map.of(
                    "eq",
                    Script.function(
                            "eq",
                            "got want",
                            a -> {
                                if (!Values.equal(a[0], a[1])) {
                                    throw Script.error(
                                            "got "
                                                    + Values.repr(a[0])
                                                    + ", want "
                                                    + Values.repr(a[1]));
                                }
                                return Values.None.NONE;
                            }));

    @TempDir private Path folder;

    private static Module run(String text) {
        return Script.run("t.star", text, EQ, line -> {});
    }

    private static String conformance() throws IOException {
        try (InputStream in = ScriptTest.class.getResourceAsStream("/conformance.star")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @TestFactory
    List<DynamicTest> everyChunkDoesWhatTheSpecificationSays() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        for (String chunk : conformance().split("(?m)^---\n")) {
            tests.add(
                    DynamicTest.dynamicTest(
                            chunk.lines().findFirst().orElse(""), () -> check(chunk)));
        }
        return tests;
    }

    private static void check(String chunk) {
        int line = 0;
        String expected = null;
        for (String l : chunk.split("\n")) {
            line++;
            if (l.matches(".*### \\S.*")) {
                expected = l.substring(l.indexOf("### ") + 4);
                break;
            }
        }
        if (expected == null) {
            run(chunk);
            return;
        }
        ScriptError e = assertThrows(ScriptError.class, () -> run(chunk));
        assertTrue(e.getMessage().contains(expected), e.getMessage());
        assertEquals(0, e.getMessage().indexOf("t.star:"), e.getMessage());
    }

    @Test
    void anErrorTellsItsPlaceAndTheCallsThatLedThere() {
        ScriptError e =
                assertThrows(
                        ScriptError.class,
                        () -> run("def g(x):\n    return x.y\ndef f():\n    return g(1)\n\nf()\n"));
        assertEquals(
                "t.star:2:14: int has no attribute y\n  in g, called at t.star:4:13\n  in f, called at t.star:6:2",
                e.getMessage());
    }

    @Test
    void aFileLoadsItsSiblingsOnceAndTheyAreFrozen() throws IOException {
        Files.writeString(
                folder.resolve("a.star"),
                "print('once')\nnames = ['x']\n_own = 1\ndef f():\n    return names\n");
        Files.writeString(
                folder.resolve("b.star"),
                "load('a.star', 'names', g = 'f')\nload('a.star', 'f')\n"
                        + "same = g() == names and f() == names\n");
        List<String> printed = new ArrayList<>();
        assertEquals(
                true, Script.run(folder.resolve("b.star"), Map.of(), printed::add).global("same"));
        assertEquals(List.of("once"), printed);
        Files.writeString(folder.resolve("c.star"), "load('a.star', 'names')\nnames.append(1)\n");
        assertEquals(
                "c.star:2:13: the list is frozen",
                assertThrows(
                                ScriptError.class,
                                () -> Script.run(folder.resolve("c.star"), Map.of(), printed::add))
                        .getMessage());
        Files.writeString(folder.resolve("d.star"), "load('a.star', '_own')\n");
        assertTrue(
                assertThrows(
                                ScriptError.class,
                                () -> Script.run(folder.resolve("d.star"), Map.of(), printed::add))
                        .getMessage()
                        .contains("private"));
        Files.writeString(folder.resolve("e.star"), "load('e.star', 'x')\n");
        assertTrue(
                assertThrows(
                                ScriptError.class,
                                () -> Script.run(folder.resolve("e.star"), Map.of(), printed::add))
                        .getMessage()
                        .contains("load each other"));
    }

    @Test
    void theHostCallsAFunctionAndIsToldOfOneThatDoesNotFit() {
        Module m =
                run(
                        "def classify(e):\n    return 'price' if e.startswith('/p') else None\nx = 1\n");
        Module.HostFunction f = m.function("classify", 1, 1000);
        assertEquals("price", f.call("/price"));
        assertEquals(Values.None.NONE, f.call("/x"));
        assertTrue(
                assertThrows(ScriptError.class, () -> m.function("none", 1, 1000))
                        .getMessage()
                        .contains("a function none is needed"));
        assertTrue(
                assertThrows(ScriptError.class, () -> m.function("x", 1, 1000))
                        .getMessage()
                        .contains("x must be a function, not int"));
        assertTrue(
                assertThrows(ScriptError.class, () -> m.function("classify", 2, 1000))
                        .getMessage()
                        .contains("must take 2 arguments"));
    }

    @Test
    void deepNestingAndLongTextsEndInAnErrorOfItsOwn() {
        for (String text :
                List.of(
                        "x = " + "(".repeat(50_000),
                        "x = " + "-".repeat(50_000) + "1",
                        "x = " + "not ".repeat(20_000) + "1",
                        "x = 1" + " + 1".repeat(50_000),
                        "x = f" + "()".repeat(50_000),
                        "x = " + "lambda: ".repeat(20_000) + "1",
                        "x = " + "1 if 1 else ".repeat(20_000) + "1",
                        "x = []\nfor i in range(100000):\n    x = [x]\ny = str(x) == str([x])\nz = x == [x]\n",
                        "s = 'a'\nfor i in range(100):\n    s = s + s\n",
                        "n = 3\nfor i in range(100):\n    n = n * n\n")) {
            assertThrows(ScriptError.class, () -> run(text), text.substring(0, 20));
        }
    }

    /**
     * Token soup and mutations of valid scripts: whatever comes, the only exception is the script's
     * own.
     */
    @Test
    void noTextMakesItThrowAnythingElse() throws IOException {
        Random random = new Random(7);
        String[] tokens =
                ("def f x y ( ) [ ] { } : , . = += == < in not and or if else elif for return break lambda * **"
                                + " 1 0 2.5 9223372036854775807 'a' \"b\" '%s' None True range(9) len str [1] {'a':1} struct load pass"
                                + " \\ ; // % << | ~ - .format .append .split")
                        .split(" ");
        String[] chunks = conformance().split("(?m)^---\n");
        for (int i = 0; i < 6000; i++) {
            StringBuilder text = new StringBuilder();
            if (i % 2 == 0) {
                for (int n = random.nextInt(40); n >= 0; n--) {
                    text.append(tokens[random.nextInt(tokens.length)])
                            .append(random.nextInt(5) == 0 ? "\n" : " ")
                            .append(random.nextInt(9) == 0 ? "    " : "");
                }
            } else {
                text.append(chunks[random.nextInt(chunks.length)]);
                for (int n = random.nextInt(6); n >= 0 && text.length() > 1; n--) {
                    int at = random.nextInt(text.length());
                    switch (random.nextInt(3)) {
                        case 0 -> text.deleteCharAt(at);
                        case 1 -> text.insert(at, tokens[random.nextInt(tokens.length)]);
                        default ->
                                text.setCharAt(
                                        at,
                                        (char)
                                                (random.nextInt(100) == 0
                                                        ? random.nextInt(65536)
                                                        : random.nextInt(128)));
                    }
                }
            }
            try {
                run(text.toString());
            } catch (ScriptError e) {
                assertTrue(e.getMessage() != null);
            } catch (Throwable e) {
                fail(e + " for:\n" + text, e);
            }
        }
    }
}

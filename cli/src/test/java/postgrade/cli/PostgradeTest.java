package postgrade.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PostgradeTest {

    @TempDir
    private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Postgrade.execute(new PrintWriter(out), new PrintWriter(err), args);
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("n1.json"), text.replace('\'', '"'));
    }

    private static final String GOOD = "{'name':'n1','listen':'127.0.0.1:8443','discovery':'127.0.0.1:8500',"
            + "'settings':{'classes':[{'name':'price','idempotency':'read_like','onTimeNs':200000000}]}}";

    @Test
    void theCallItselfIsCheckedAndNamed() {
        assertEquals(2, run());
        assertEquals(2, run("chekc"));
        assertEquals(2, run("--log-format", "xml", "check", "x"));
        assertTrue(err.toString().contains("--log-format is text or json, not xml"), err.toString());
        assertEquals(2, run("check", folder.resolve("none.json").toString()));
        assertTrue(err.toString().contains("none.json: no such file"), err.toString());
    }

    @Test
    void helpVersionAndCompletionAreThere() {
        assertEquals(0, run("--help"));
        assertTrue(out.toString().contains("check"), out.toString());
        assertEquals(0, run("--version"));
        assertEquals(0, run("generate-completion"));
        assertTrue(out.toString().contains("complete -F"), "a completion script for the shell");
    }

    @Test
    void aCheckTellsWhatIsInForceAndWhereItCameFrom() throws IOException {
        assertEquals(0, run("check", file(GOOD).toString()));
        assertTrue(out.toString().matches("(?s).*listen +127.0.0.1:8443 +file.*limits.sockets +1024 +default.*"),
                out.toString());
        assertTrue(out.toString().contains("settings.classes.0.deadlineNs"), out.toString());
    }

    @Test
    void aCheckNamesFileAndKeyOfWhatIsFaulty() throws IOException {
        assertEquals(2, run("check", file(GOOD.replace("8443", "x")).toString()));
        assertTrue(err.toString().contains("n1.json: listen: "), err.toString());
        assertEquals(2, run("check", file(GOOD.replace("read_like", "twice")).toString()));
        assertTrue(err.toString().contains("classes.0.idempotency cannot be twice"), err.toString());
    }
}

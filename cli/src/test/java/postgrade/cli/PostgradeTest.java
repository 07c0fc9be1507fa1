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
import postgrade.fleet.net.HeldPort;

class PostgradeTest {

    @TempDir private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Postgrade.execute(new PrintWriter(out), new PrintWriter(err), args);
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("n1.json"), text.replace('\'', '"'));
    }

    private static final String GOOD =
            "{'name':'n1','listen':'127.0.0.1:8443','discovery':'127.0.0.1:8500',"
                    + "'settings':{'classes':[{'name':'price','idempotency':'read_like','onTimeNs':200000000}]}}";

    @Test
    void theCallItselfIsCheckedAndNamed() {
        assertEquals(2, run());
        assertEquals(2, run("chekc"));
        assertEquals(2, run("--log-format", "xml", "check", "x"));
        assertTrue(
                err.toString().contains("--log-format is text or json, not xml"), err.toString());
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
        assertTrue(
                out.toString()
                        .matches(
                                "(?s).*listen +127.0.0.1:8443 +file.*limits.sockets +1024 +default.*"),
                out.toString());
        assertTrue(out.toString().contains("settings.classes.0.deadlineNs"), out.toString());
    }

    @Test
    void plansAndFleetsAreCheckedToo() throws IOException {
        Path plan =
                Files.writeString(
                        folder.resolve("p.star"),
                        "retries = 'none'\ndef classify(entry):\n" + "    return drop('x')\n");
        assertEquals(0, run("check", plan.toString()));
        assertTrue(
                out.toString()
                        .matches(
                                "(?s).*retries +none +file.*time_zone.*default.*|(?s).*time_zone +UTC +default"
                                        + ".*retries +none +file.*"),
                out.toString());
        assertEquals(
                2,
                run(
                        "check",
                        Files.writeString(folder.resolve("q.star"), "def classify(e)\n")
                                .toString()));
        assertTrue(err.toString().contains("q.star:1:16: syntax error"), err.toString());
        assertEquals(
                2,
                run(
                        "check",
                        Files.writeString(
                                        folder.resolve("f.star"),
                                        "workers = [worker(0, 'm', 1, 1)]\n")
                                .toString()));
        assertTrue(
                err.toString().contains("f.star:1:18: count must be a number from 1 on, not 0"),
                err.toString());
    }

    @Test
    void badInputOfEveryKindEndsInOneLineAndTheRightCode() throws IOException {
        String trace = folder.resolve("a.trace").toString();
        assertEquals(
                1, run("load", "import", folder.resolve("none.log").toString(), "--out", trace));
        assertTrue(err.toString().contains("none.log: no such file"), err.toString());
        Path odd = Files.writeString(folder.resolve("odd.txt"), "once upon a time\n");
        assertEquals(1, run("load", "import", odd.toString(), "--out", trace));
        assertTrue(
                err.toString().contains("odd.txt: its format is not recognised"), err.toString());
        assertEquals(
                2, run("load", "import", odd.toString(), "--out", trace, "--format", "apache:%Q"));
        assertTrue(err.toString().contains("%Q in the format"), err.toString());
        assertEquals(1, run("load", "inspect", folder.resolve("none.trace").toString()));
        assertEquals(0, run("load", "generate", "--out", trace, "--seconds", "1"));
        assertEquals(2, run("load", "generate", "--out", trace, "--rate", "-1"));
        assertEquals(
                2, run("load", "replay", trace, "--dir", folder.toString(), "--target", "nowhere"));
        assertTrue(err.toString().contains("--target: nowhere is not host:port"), err.toString());
        try (HeldPort deaf = new HeldPort()) {
            assertEquals(
                    1,
                    run(
                            "load",
                            "replay",
                            trace,
                            "--dir",
                            folder.toString(),
                            "--target",
                            "127.0.0.1:" + deaf.port()));
        }
        assertTrue(err.toString().contains("cannot be reached"), err.toString());
        assertEquals(
                2,
                run(
                        "load",
                        "replay",
                        trace,
                        "--dir",
                        folder.toString(),
                        "--target",
                        "127.0.0.1:9",
                        "--window",
                        "noon-night"));
        assertEquals(1, run("report", folder.resolve("nothing").toString()));
        assertEquals(1, run("fleet", "judge", folder.toString()));
        assertEquals(0, run("load", "convert", trace, folder.resolve("a.jsonl").toString()));
        assertEquals(2, run("load", "convert", trace, folder.resolve("a.xyz").toString()));
        assertTrue(err.toString().contains("its form is told by its end"), err.toString());
        assertEquals(
                0,
                err.toString().lines().filter(l -> l.startsWith("\tat ")).count(),
                "no traces of ours");
    }

    @Test
    void aCheckNamesFileAndKeyOfWhatIsFaulty() throws IOException {
        assertEquals(2, run("check", file(GOOD.replace("8443", "x")).toString()));
        assertTrue(err.toString().contains("n1.json: listen: "), err.toString());
        assertEquals(2, run("check", file(GOOD.replace("read_like", "twice")).toString()));
        assertTrue(
                err.toString().contains("classes.0.idempotency cannot be twice"), err.toString());
    }
}

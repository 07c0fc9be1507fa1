package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** Signals to the program in moments in which it is busy with something else. */
public class SignalTest extends DaemonTestBase {

    private Process process;

    @After
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void send(String signal) throws Exception {
        assertEquals(
                0, new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor());
    }

    private String readLog() throws IOException, InterruptedException {
        String log = new String(process.getErrorStream().readAllBytes());
        assertTrue("ended", process.waitFor(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
        return log;
    }

    @Test
    public void repeatedSigtermAndSighupStopTheProcessGracefully() throws Exception {
        process = startProcess(configuration(workerEntry("w1", workerOne.address(), "ready")));
        discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        for (String signal : new String[] {"HUP", "TERM", "HUP", "TERM"}) {
            send(signal);
        }
        String log = readLog();
        assertEquals(log, 2, log.split("stopping: no longer ready", -1).length);
        assertTrue(log, log.contains("all answered"));
    }

    /** It is held at the start by its configuration, a pipe that the test fills when it likes. */
    @Test(timeout = 60_000) // A pipe that nobody reads from is waited for without end.
    public void signalsDuringStartAreHandledOnceTheDaemonExists() throws Exception {
        Map<String, String> environment =
                configuration(workerEntry("w1", workerOne.address(), "ready"));
        Path file = Path.of(environment.get("ROUTER_CONFIG"));
        String text = Files.readString(file);
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        process = startProcess(environment);
        try (var pipe = Files.newOutputStream(file)) { // It is open once the program reads.
            send("HUP");
            pipe.write(text.getBytes());
        }
        BufferedReader errors = process.errorReader();
        String line = errors.readLine();
        while (line != null && !line.contains(" listens on ")) { // By then it has closed the pipe.
            line = errors.readLine();
        }
        assertTrue("it has outlived the signal", line != null);
        Files.writeString(
                file,
                text.replace(discovery.address(), workerTwo.address())); // The reload reads again.
        workerTwo.awaitMessage("GET /api/targets ");
        send("KILL");
        process.waitFor();
        process = startProcess(environment);
        try (var pipe = Files.newOutputStream(file)) {
            send("TERM");
            pipe.write(text.getBytes());
        }
        String log = readLog();
        assertTrue(log, log.contains("all answered"));
    }
}

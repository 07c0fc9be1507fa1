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

/** Signals that reach the process while it starts or stops. */
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

    /** Its configuration is a pipe, so the start blocks until the test writes to it. */
    @Test(timeout = 60_000) // Opening a pipe that nobody reads would block for ever.
    public void signalsDuringStartAreHandledOnceTheDaemonExists() throws Exception {
        Map<String, String> environment =
                configuration(workerEntry("w1", workerOne.address(), "ready"));
        Path file = Path.of(environment.get("ROUTER_CONFIG"));
        String text = Files.readString(file);
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        process = startProcess(environment);
        // The open returns once the process reads.
        try (var pipe = Files.newOutputStream(file)) {
            send("HUP");
            pipe.write(text.getBytes());
        }
        BufferedReader errors = process.errorReader();
        String line = errors.readLine();
        // By then it has closed the pipe.
        while (line != null && !line.contains(" listens on ")) {
            line = errors.readLine();
        }
        assertTrue("it has survived the signal", line != null);
        // The reload reads the file again.
        Files.writeString(file, text.replace(discovery.address(), workerTwo.address()));
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

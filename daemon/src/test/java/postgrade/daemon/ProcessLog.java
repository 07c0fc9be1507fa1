package postgrade.daemon;

import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads the log of a dispatcher that runs in a process of its own. */
final class ProcessLog {

    private ProcessLog() {}

    /** Reads up to a line with this text; fails if the process ends before. */
    static void awaitLine(BufferedReader log, String text) throws IOException {
        List<String> before = new ArrayList<>();
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            before.add(line);
            line = log.readLine();
        }
        assertTrue("not logged: " + text + ": " + before, line != null);
    }
}

package postgrade.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

class EventLogsTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private Logger log;

    @BeforeEach
    void captureLog() {
        EventLogs.configure(EventLogs.Format.TEXT);
        log = LoggerFactory.getLogger(EventLogsTest.class);
        EventLogs.setOutput(new PrintStream(output, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void restoreLog() {
        EventLogs.configure(EventLogs.Format.TEXT);
        EventLogs.setOutput(System.err);
    }

    private String written() {
        return output.toString(StandardCharsets.UTF_8);
    }

    @Test
    void textLineHasTimeLevelAndTextOnOneLine() {
        Events.warn(log, "watch.lost").addKeyValue("why", "x").log("lost\nagain");
        assertTrue(written().matches("[0-9TZ:.-]+ WARNING lost\\\\nagain\n"), written());
    }

    @Test
    void jsonLineHasEventNameAndTypedFields() {
        EventLogs.configure(EventLogs.Format.JSON);
        Events.error(log, "loop.ended")
                .addKeyValue("version", 41L)
                .addKeyValue("share", 0.5)
                .setCause(new IllegalStateException("why \"so\""))
                .log("the loop ended");
        JsonObject line = Json.parse(written()).asObject();
        assertEquals("SEVERE", line.getString("level", ""));
        assertEquals("loop.ended", line.getString("event", ""));
        assertEquals("the loop ended", line.getString("message", ""));
        assertEquals(41, line.getLong("version", 0));
        assertEquals(0.5, line.getDouble("share", 0));
        assertTrue(line.getString("thrown", "").endsWith("why \"so\""));
        assertEquals(1, written().chars().filter(c -> c == '\n').count());
    }

    @Test
    void plainLinesAtOrAboveTheLevelAreWritten() {
        log.debug("not this");
        log.info("{} of {}", 1, 2);
        assertTrue(written().endsWith(" INFO 1 of 2\n"), written());
    }

    @Test
    void unknownFormatIsNamedInTheError() {
        assertEquals(
                "--log-format is text or json, not xml",
                assertThrows(IllegalArgumentException.class, () -> EventLogs.parseFormat("xml"))
                        .getMessage());
    }
}

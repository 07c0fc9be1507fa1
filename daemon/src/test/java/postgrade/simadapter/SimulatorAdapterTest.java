package postgrade.simadapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SimulatorAdapterTest {

    private static final String ATTACH =
            "ATTACH\tdispatcher-0\t5\tbalancers=1\tclasses.count=1\tclasses.0.name=view"
                    + "\tclasses.0.idempotency=read_like\tclasses.0.onTimeNs=150000000\tclasses.0.importance=1.0"
                    + "\tdiscovery=ask\tlimits.maxAttempts=4\tlimits.cancel=true\tsome.unknown=thing\n"
                    + "TOPOLOGY\tdispatcher-0\tdisk\t1\t1\nENTRY\t10.0.0.1:5000\tz\tstd\t0\tReady\t1\t-\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final StringBuilder err = new StringBuilder();

    private int serve(String input) throws IOException {
        return SimulatorAdapter.serve(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out, err);
    }

    private static String batch(String lines) {
        return "FRAME\t1000\n" + lines + "YOUR_TURN\n\n";
    }

    @Test
    void jobEventsProduceActionsAndReplies() throws IOException {
        int code =
                serve(
                        batch(ATTACH)
                                + batch(
                                        "DEMAND\tdispatcher-0\tab\tview\t-\t-\t5000000000\t-\t1\t-\t0\t0\t0\n")
                                + batch(
                                        "HEARTBEAT\tdispatcher-0\tab\t1\t0\t10.0.0.1:5000\t-\n"
                                                + "FINISHED\tdispatcher-0\tab\t0\t10.0.0.1:5000\t0\t18500000\t1\t-\t14.5,0.62,0.4\n")
                                + batch(
                                        "MEMO\tdispatcher-0\t2\taGk=\nABANDONED\tdispatcher-0\tab\nKILLED\tdispatcher-0\n"));
        assertEquals("", err.toString());
        assertEquals(0, code);
        assertEquals(
                "TRACK\tdispatcher-0\t1\nREADY\n"
                        + "SEND\tdispatcher-0\tab\t10.0.0.1:5000\t0\nAFTER\tdispatcher-0\tsweep\t50000000\nREADY\n"
                        + "READY\nREADY\n",
                out.toString(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource({"true, SEND", "false, AFTER"})
    void settingDecidesWhetherDroppedWorkersStayOpen(String value, String firstAction)
            throws IOException {
        serve(
                batch(
                                ATTACH.replace(
                                                "some.unknown=thing",
                                                "obligations.droppedStayOpen=" + value)
                                        + "TOPOLOGY\tdispatcher-0\tsnapshot\t2\t0\n")
                        + batch(
                                "DEMAND\tdispatcher-0\tab\tview\t-\t-\t5000000000\t-\t1\t-\t0\t0\t0\n"));
        assertTrue(
                out.toString(StandardCharsets.UTF_8).contains("READY\n" + firstAction),
                out.toString());
    }

    @Test
    void instancesShareNoState() throws IOException {
        String both = ATTACH + ATTACH.replace("dispatcher-0", "dispatcher-1");
        serve(
                batch(both)
                        + batch(
                                "DEMAND\tdispatcher-0\tab\tview\t-\t-\t5000000000\t-\t1\t-\t0\t0\t0\n")
                        + batch(
                                "FINISHED\tdispatcher-1\tab\t0\t10.0.0.1:5000\t8\t18500000\t0\t-\t-\n"));
        assertTrue(
                out.toString(StandardCharsets.UTF_8).endsWith("READY\nREADY\n"),
                "unknown to the other instance");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "NONSENSE,dispatcher-0 | NONSENSE",
                "DEMAND,dispatcher-0,ab,nope,-,-,5 | class",
                "DEMAND,dispatcher-0,ab,view,-,-,soon | expiresInNs",
                "DEMAND,dispatcher-9,ab,view,-,-,5 | dispatcher-9",
                "FINISHED,dispatcher-0,ab,0,w,77,1,1 | code",
                "FINISHED,dispatcher-0,ab | trial",
                "ATTACH,dispatcher-3,5,balancers=2 | classes.count",
                "TOPOLOGY,dispatcher-0,weird,1,0 | form"
            })
    void malformedLineEndsTheAdapterWithOneErrorLine(String line, String named) throws IOException {
        String bad = line.strip().replace(',', '\t') + "\n";
        assertEquals(1, serve(batch(ATTACH) + batch(bad)));
        assertTrue(err.toString().contains(named), err.toString());
        assertTrue(err.toString().contains(bad.split("\t")[0].strip()), err.toString());
        assertEquals(1, err.toString().lines().count());
        assertTrue(out.toString(StandardCharsets.UTF_8).endsWith("READY\n"));
    }
}

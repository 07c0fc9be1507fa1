package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.List;
import org.junit.Test;
import postgrade.endpoints.EndpointRegistry;
import postgrade.endpoints.EndpointRegistry.WorkerOverride;

/**
 * The file that a process leaves for the next one: it is readable whichever version wrote it, and
 * its ages are computed by the clock recorded in it.
 */
public class HandoverStateTest {

    private static final long SECOND_NS = 1_000_000_000L;
    private static final long HOUR_MS = 3_600_000;
    private static final long WRITTEN_MS = 1_790_000_000_000L;

    private static List<WorkerOverride> overrides(
            JsonObject file, long nowMillis, long machineNanos) {
        return HandoverState.fromHandoverFile(file, nowMillis, machineNanos).overrides();
    }

    @Test
    public void aFileOfAnEarlierVersionIsReadByTheWallClock() {
        JsonObject file =
                Json.parse(
                                "{\"atMs\":"
                                        + WRITTEN_MS
                                        + ",\"roster\":[{\"id\":\"w1\",\"out\":2000000000,\"back\":-1},"
                                        + "{\"id\":\"w2\",\"out\":5000000000,\"back\":1000000000}]}")
                        .asObject();
        assertEquals(
                List.of(
                        new WorkerOverride("w1", 5 * SECOND_NS, -1),
                        new WorkerOverride("w2", 8 * SECOND_NS, 4 * SECOND_NS)),
                overrides(file, WRITTEN_MS + 3_000, 77));
    }

    /** The wall clock is stepped by an hour in either direction between writing and reading. */
    @Test
    public void aWallClockStepChangesNoAge() {
        EndpointRegistry registry = new EndpointRegistry();
        registry.disable(10 * SECOND_NS, "w1");
        JsonObject file =
                HandoverState.handoverFileContent(
                        registry, 12 * SECOND_NS, WRITTEN_MS, 100 * SECOND_NS);
        for (long step : new long[] {HOUR_MS, -HOUR_MS}) {
            assertEquals(
                    List.of(new WorkerOverride("w1", 5 * SECOND_NS, -1)),
                    overrides(file, WRITTEN_MS + step, 103 * SECOND_NS));
        }
    }
}

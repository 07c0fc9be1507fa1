package postgrade.recovery;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.recovery.UnusableSnapshotException.Fault;

/** What a snapshot contains, which of its entries are trusted, and which snapshots are rejected. */
public class LearntSnapshotTest {

    private static final long SAVED_MICROS = 1_000_000_000L;
    private static final long HALF_LIFE = LearntStateAging.HALF_LIFE_MICROS;
    private static final double[] WORKER = {3, 5e9, 2, 1.5, 8, 2e6, 1e9, 1e8, 1};
    private final LearntSnapshot snapshot =
            LearntSnapshot.capture(
                    "n1",
                    SAVED_MICROS,
                    0.9,
                    List.of(
                            new PolicyStateEntry(
                                    "class", "pri ce\u00e9\\", new double[] {2e8, 100, 0.5}),
                            new PolicyStateEntry("kind", "", new double[] {4, 2, 1}),
                            new PolicyStateEntry("worker", "w1", WORKER),
                            new PolicyStateEntry("worker", "unlisted", WORKER),
                            new PolicyStateEntry("cold", "w1", new double[] {1e8, 2}),
                            new PolicyStateEntry("tenant", "shop", new double[] {1.5, 40, 4, 1e7})),
                    Map.of("w1", 5000L, "w2", 0L));

    private PolicyStateEntry trusted(String category, long age, long started) {
        return snapshot.trustedEntries(SAVED_MICROS + age, Map.of("w1", started)).stream()
                .filter(entry -> entry.category().equals(category))
                .findFirst()
                .orElse(null);
    }

    @Test
    public void snapshotRoundTrips() throws UnusableSnapshotException {
        LearntSnapshot read =
                LearntSnapshotFormat.read(LearntSnapshotFormat.write(snapshot), "n1", SAVED_MICROS);
        assertArrayEquals(LearntSnapshotFormat.write(snapshot), LearntSnapshotFormat.write(read));
        assertEquals(5, read.entries().size());
        assertEquals("pri ce\u00e9\\", read.entries().get(0).learnt().name());
        assertArrayEquals(WORKER, read.entries().get(2).learnt().values(), 0);
        assertEquals(0.9, read.servedShare(), 0);
    }

    @Test
    public void valuesDecayWithAgeAndTokensStay() {
        assertArrayEquals(
                new double[] {2e8, 50, 0.25}, trusted("class", HALF_LIFE, 5000).values(), 1e-9);
        assertEquals(
                "a single observation has decayed to nothing",
                null,
                trusted("kind", HALF_LIFE, 5000));
        assertArrayEquals(
                new double[] {1.5, 0, 1, 1.25, 4, 1e6, 61e9, 60.1e9, 1},
                trusted("worker", HALF_LIFE, 5000).values(),
                1e-3);
        assertArrayEquals(
                new double[] {1.5, 20, 2, 60.01e9},
                trusted("tenant", HALF_LIFE, 5000).values(),
                1e-3);
        assertArrayEquals(
                new double[] {60.1e9, 2}, trusted("cold", HALF_LIFE, 5000).values(), 1e-3);
        assertEquals(
                List.of(),
                snapshot.trustedEntries(
                        SAVED_MICROS + LearntStateAging.MAX_AGE_MICROS + 1, Map.of("w1", 5000L)));
        assertEquals("the clock was set back", 3.0, trusted("worker", -100, 5000).values()[0], 0);
    }

    @Test
    public void stateLearntBeforeWorkerRestartIsDropped() {
        assertTrue(trusted("worker", 0, 5000) != null && trusted("cold", 0, 5000) != null);
        assertEquals(null, trusted("worker", 0, 5001));
        assertEquals(null, trusted("cold", 0, 5001));
        assertEquals(
                "the other entries stay",
                3,
                snapshot.trustedEntries(SAVED_MICROS, Map.of()).size());
    }

    private static Fault fault(byte[] bytes, String dispatcher, long now) {
        return assertThrows(
                        UnusableSnapshotException.class,
                        () -> LearntSnapshotFormat.read(bytes, dispatcher, now))
                .fault();
    }

    @Test
    public void eachFaultIsReportedByName() {
        byte[] good = LearntSnapshotFormat.write(snapshot);
        assertEquals(Fault.OTHER_DISPATCHER, fault(good, "n2", SAVED_MICROS));
        assertEquals(Fault.FROM_THE_FUTURE, fault(good, "n1", SAVED_MICROS - 10_000_000));
        assertEquals(
                Fault.NOT_A_SNAPSHOT,
                fault(AsciiEscape.bytes("{\"list\":[]}"), "n1", SAVED_MICROS));
        assertEquals(
                Fault.TOO_LARGE,
                fault(new byte[LearntSnapshotFormat.MAX_BYTES + 1], "n1", SAVED_MICROS));
        assertEquals(
                Fault.MALFORMED,
                fault(formatted(1, "dispatcher n1\nsaved x\n"), "n1", SAVED_MICROS));
        assertEquals(Fault.LATER_FORMAT, fault(formatted(2, "anything"), "n1", SAVED_MICROS));
    }

    private static byte[] formatted(int version, String body) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(AsciiEscape.bytes(version + " " + body.length() + "\n" + body));
        return AsciiEscape.bytes(
                "postgrade-memory "
                        + version
                        + " "
                        + String.format("%08x", crc.getValue())
                        + " "
                        + body.length()
                        + "\n"
                        + body);
    }

    @Test
    public void truncatedSnapshotIsRejected() {
        byte[] good = LearntSnapshotFormat.write(snapshot);
        for (int length = 0; length < good.length; length++) {
            assertEquals(
                    "" + length,
                    Fault.TORN,
                    fault(Arrays.copyOf(good, length), "n1", SAVED_MICROS));
        }
        assertEquals(Fault.TORN, fault(Arrays.copyOf(good, good.length + 1), "n1", SAVED_MICROS));
    }

    @Test
    public void snapshotWithFlippedBitIsRejected() {
        byte[] good = LearntSnapshotFormat.write(snapshot);
        for (int bit = 0; bit < good.length * 8; bit++) {
            byte[] damaged = good.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            fault(damaged, "n1", SAVED_MICROS);
        }
    }
}

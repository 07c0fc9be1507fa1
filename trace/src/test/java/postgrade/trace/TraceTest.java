package postgrade.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.trace.wire.Header;

class TraceTest {

    @TempDir private Path folder;

    private List<TraceJob> write(Path file, int count) throws IOException {
        Random random = new Random(3);
        List<TraceJob> jobs = new ArrayList<>();
        try (TraceWriter w = new TraceWriter(file, Header.newBuilder().setMadeBy("test").build())) {
            long at = 0;
            for (int n = 1; n <= count; n++) {
                at += random.nextInt(1000);
                boolean retry = n > 1 && random.nextInt(10) == 0;
                TraceJob j =
                        new TraceJob(
                                n,
                                at,
                                "c" + random.nextInt(4),
                                random.nextBoolean() ? "t" : null,
                                random.nextInt(3) == 0 ? null : "k" + random.nextInt(1000),
                                random.nextInt(5000),
                                random.nextInt(65536),
                                random.nextBoolean() ? 200 : 0,
                                random.nextInt(3) - 1L,
                                retry ? n - 1 : 0,
                                retry ? 1 : 0,
                                1,
                                n);
                jobs.add(j);
                assertEquals(n, w.add(j));
            }
        }
        return jobs;
    }

    private static List<TraceJob> rest(TraceReader r) throws IOException {
        List<TraceJob> all = new ArrayList<>();
        for (TraceJob j = r.next(); j != null; j = r.next()) {
            all.add(j);
        }
        return all;
    }

    @Test
    void whatIsWrittenIsReadBackFromAnyTimeOn() throws IOException {
        Path file = folder.resolve("a.trace");
        List<TraceJob> jobs = write(file, 10_000);
        try (TraceReader r = new TraceReader(file)) {
            assertEquals(10_000, r.jobs());
            assertEquals(jobs, rest(r));
            for (long micros :
                    new long[] {
                        0,
                        1,
                        jobs.get(4096).atMicros(),
                        jobs.get(5000).atMicros(),
                        jobs.get(9999).atMicros(),
                        jobs.get(9999).atMicros() + 1
                    }) {
                r.seek(micros);
                assertEquals(jobs.stream().filter(j -> j.atMicros() >= micros).toList(), rest(r));
            }
        }
    }

    @Test
    void anEmptyTraceIsOne() throws IOException {
        Path file = folder.resolve("e.trace");
        write(file, 0);
        try (TraceReader r = new TraceReader(file)) {
            assertNull(r.next());
            assertEquals(0, r.lastMicros());
        }
    }

    @Test
    void aCutOrDamagedFileIsToldAtEveryPlace() throws IOException {
        Path file = folder.resolve("a.trace");
        write(file, 300);
        byte[] whole = Files.readAllBytes(file);
        Path bad = folder.resolve("bad.trace");
        for (int length = 0; length < whole.length; length += 7) {
            Files.write(bad, java.util.Arrays.copyOf(whole, length));
            assertThrows(TraceException.class, () -> new TraceReader(bad), "cut at " + length);
        }
        for (int at = 0; at < whole.length; at += 11) {
            byte[] changed = whole.clone();
            changed[at] ^= 0x10;
            Files.write(bad, changed);
            TraceException e =
                    assertThrows(
                            TraceException.class,
                            () -> {
                                try (TraceReader r = new TraceReader(bad)) {
                                    rest(r);
                                }
                            },
                            "changed at " + at);
            assertTrue(e.getMessage().startsWith(bad.toString()));
        }
    }

    @Test
    void theFileHasItsNameOnlyOnceItIsWhole() throws IOException {
        Path file = folder.resolve("a.trace");
        TraceWriter w = new TraceWriter(file, Header.getDefaultInstance());
        w.add(new TraceJob(0, 5, "c", null, null, 0, 0, 0, -1, 0, 0, 0, 0));
        assertThrows(
                IllegalArgumentException.class,
                () -> w.add(new TraceJob(0, 4, "c", null, null, 0, 0, 0, -1, 0, 0, 0, 0)));
        assertThrows(
                IllegalArgumentException.class,
                () -> w.add(new TraceJob(0, 6, "c", null, null, 0, 0, 0, -1, 2, 1, 0, 0)));
        assertFalse(Files.exists(file));
        w.abandon();
        w.close();
        assertEquals(0, Files.list(folder).count());
    }
}

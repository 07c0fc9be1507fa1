package postgrade.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import blue.strategic.parquet.Hydrator;
import blue.strategic.parquet.HydratorSupplier;
import blue.strategic.parquet.ParquetReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.fleet.Ledger;
import postgrade.lab.replay.Fidelity;
import postgrade.lab.replay.Level;
import postgrade.lab.replay.ReplayResult;
import postgrade.lab.report.Report;
import postgrade.lab.tables.RunData;
import postgrade.lab.tables.RunData.End;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceWriter;
import postgrade.trace.wire.Header;

class ReportTest {

    @TempDir private Path folder;

    /** A run of 12 s with 10 jobs a second, of which some end otherwise than served. */
    private Path run(String name, int latencyMs) throws IOException {
        Path run = Files.createDirectories(folder.resolve(name));
        try (Ledger clients = new Ledger(run.resolve("clients.ledger"));
                Ledger workers = new Ledger(run.resolve("workers.ledger"))) {
            clients.add(1, "began", "", "client", "trace=x seed=1 speed=2.0");
            for (int i = 0; i < 120; i++) {
                long at = 1_000_000 + i * 100_000;
                String id = name + i;
                clients.add(
                        at + 300,
                        "sent",
                        id,
                        "client",
                        "job="
                                + (i + 1)
                                + ".0 class="
                                + (i % 4 == 0 ? "b" : "a")
                                + " tenant=<t> attempt=0 deadline=5000000 intended="
                                + at
                                + " repeatable=true");
                if (i % 10 == 9) {
                    clients.add(
                            at + 900,
                            "answer",
                            id,
                            "client",
                            "status=429 result=- retry_after=0.5");
                    continue;
                }
                workers.add(
                        at + 500,
                        "received",
                        id,
                        "w1",
                        "a="
                                + (i + latencyMs * 1000)
                                + " via=0 first="
                                + at
                                + " class=a repeatable=true");
                workers.add(
                        at + 600,
                        "done",
                        id,
                        "w1",
                        "a=" + (i + latencyMs * 1000) + " result=r.w1." + i);
                clients.add(
                        at + latencyMs * 1000L,
                        "answer",
                        id,
                        "client",
                        "status=200 result=r.w1." + i);
            }
        }
        return run;
    }

    @Test
    void aRunsPageHoldsItsFiguresAndNeedsNothingFromOutside() throws IOException {
        Path run = run("r", 40);
        String page = Files.readString(Report.write(run));
        assertTrue(
                page.contains("No rule is broken") && page.contains("<svg") && page.contains("108"),
                "served: 108");
        assertTrue(page.contains("&lt;t&gt;"), "what comes from outside is escaped");
        assertFalse(
                page.contains("src=\"http")
                        || page.contains("href=\"http")
                        || page.contains("<script"),
                "no network");
        assertEquals(120, rows(run.resolve("jobs.parquet")));
        assertEquals(24, rows(run.resolve("seconds.parquet")));
    }

    private static long rows(Path table) throws IOException {
        return ParquetReader.streamContent(
                        table.toFile(),
                        HydratorSupplier.constantly(
                                new Hydrator<Integer, Integer>() {
                                    @Override
                                    public Integer start() {
                                        return 0;
                                    }

                                    @Override
                                    public Integer add(Integer cells, String column, Object value) {
                                        return cells + 1;
                                    }

                                    @Override
                                    public Integer finish(Integer cells) {
                                        return cells;
                                    }
                                }))
                .filter(cells -> cells > 0)
                .count();
    }

    @Test
    void aBrokenRuleStandsOnThePage() throws IOException {
        Path run = run("r", 40);
        try (Ledger workers = new Ledger(run.resolve("workers.ledger"))) {
            workers.add(5_000_000, "fell-over", "", "w7", "");
        }
        String page = Files.readString(Report.write(run));
        assertTrue(page.contains("Rules are broken") && page.contains("w7 fell over"));
    }

    @Test
    void twoRunsStandSideBySideWithTheirDifference() throws IOException {
        Path page = Report.compare(run("a", 40), run("b", 90), folder.resolve("ab.html"));
        String text = Files.readString(page);
        assertTrue(
                text.contains("latency p50, ms") && text.contains("+50.0"),
                text.substring(0, 3000));
    }

    @Test
    void aRunCutOffIsToldOfAsWell() throws IOException {
        Path run = run("r", 40);
        Path file = run.resolve("clients.ledger");
        String text = Files.readString(file);
        Files.writeString(file, text.substring(0, text.length() * 2 / 3));
        RunData data = RunData.read(run);
        assertTrue(data.rows.size() > 60 && data.rows.size() < 100);
        assertTrue(data.rows.stream().filter(r -> r.end() == End.LOST).count() <= 1);
    }

    @Test
    void fidelityComparesRateInWindowsAndMix() throws IOException {
        Path run = run("r", 40);
        Path trace = folder.resolve("x.trace");
        try (TraceWriter w = new TraceWriter(trace, Header.getDefaultInstance())) {
            for (int i = 0; i < 120; i++) {
                w.add(
                        new TraceJob(
                                0,
                                i * 200_000L,
                                i % 4 == 0 ? "b" : "a",
                                null,
                                null,
                                0,
                                0,
                                0,
                                -1,
                                0,
                                0,
                                0,
                                0));
            }
        }
        Fidelity.Found f = Fidelity.of(trace, run);
        assertEquals(2, f.windows());
        assertEquals(0, f.worstRate(), 0.021);
        assertEquals(0, f.worstMix(), 1e-9);
    }

    @Test
    void aLevelIsReadAndJudged() {
        Level level = Level.of("p95<100ms, served>50%");
        ReplayResult r = new ReplayResult();
        for (int i = 0; i < 100; i++) {
            r.sent.increment();
            r.served.increment();
            r.latency.recordValue(i < 96 ? 50_000 : 500_000);
        }
        assertTrue(level.keptBy(r), level.reached(r));
        r.unsent.add(101);
        assertFalse(level.keptBy(r), "what never left is not served");
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> Level.of("p95<fast"))
                        .getMessage()
                        .contains("--level: p95<fast"));
    }
}

package postgrade.lab.tables;

import blue.strategic.parquet.ParquetWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.apache.parquet.schema.LogicalTypeAnnotation;
import org.apache.parquet.schema.MessageType;
import org.apache.parquet.schema.PrimitiveType.PrimitiveTypeName;
import org.apache.parquet.schema.Types;
import postgrade.lab.tables.RunData.End;
import postgrade.lab.tables.RunData.Row;

/**
 * A run's tables: {@code jobs.parquet}, a row a request, and {@code seconds.parquet}, a row for
 * each second and class.
 */
public final class RunTables {

    private static final MessageType JOBS =
            new MessageType(
                    "jobs",
                    text("id"),
                    text("job"),
                    text("class"),
                    text("tenant"),
                    number("attempt"),
                    number("intended_us"),
                    number("sent_us"),
                    number("answered_us"),
                    number("latency_us"),
                    number("status"),
                    text("end"),
                    text("worker"),
                    real("retry_after_s"),
                    number("deadline_us"));
    private static final MessageType SECONDS =
            new MessageType(
                    "seconds",
                    number("second"),
                    text("class"),
                    number("offered"),
                    number("sent"),
                    number("answered"),
                    number("served"),
                    number("refused"),
                    number("failed"),
                    real("p50_ms"),
                    real("p95_ms"),
                    real("p99_ms"));
    private static final int MOST_MICROS = 600_000_000;

    /** One second of one class. */
    public static final class Second {
        public long offered;
        public long sent;
        public long answered;
        public long served;
        public long refused;
        public long failed;
        public final Histogram latency = new Histogram(MOST_MICROS, 2);

        public double ms(double percentile) {
            return latency.getTotalCount() == 0
                    ? Double.NaN
                    : latency.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private RunTables() {}

    private static org.apache.parquet.schema.Type text(String name) {
        return Types.optional(PrimitiveTypeName.BINARY)
                .as(LogicalTypeAnnotation.stringType())
                .named(name);
    }

    private static org.apache.parquet.schema.Type number(String name) {
        return Types.required(PrimitiveTypeName.INT64).named(name);
    }

    private static org.apache.parquet.schema.Type real(String name) {
        return Types.required(PrimitiveTypeName.DOUBLE).named(name);
    }

    /**
     * Counts by class and second. Offered and sent go by the intended time, the rest by the time of
     * the answer.
     */
    public static Map<String, TreeMap<Integer, Second>> seconds(RunData run) {
        return run.seconds(RunTables::count);
    }

    private static Map<String, TreeMap<Integer, Second>> count(RunData run) {
        Map<String, TreeMap<Integer, Second>> all = new TreeMap<>();
        for (Row r : run.rows) {
            TreeMap<Integer, Second> of = all.computeIfAbsent(r.jobClass(), c -> new TreeMap<>());
            Second intended =
                    of.computeIfAbsent((int) (r.intended() / 1_000_000), s -> new Second());
            intended.offered++;
            intended.sent += r.sent() >= 0 ? 1 : 0;
            if (r.answered() >= 0) {
                Second at = of.computeIfAbsent((int) (r.answered() / 1_000_000), s -> new Second());
                at.answered++;
                at.served += r.end() == End.SERVED ? 1 : 0;
                at.refused += r.end() == End.REFUSED ? 1 : 0;
                at.failed += r.end() == End.FAILED ? 1 : 0;
                if (r.end() == End.SERVED) {
                    at.latency.recordValue(Math.max(0, Math.min(MOST_MICROS, r.latency())));
                }
            }
        }
        return all;
    }

    /** Writes both tables into the run's folder. */
    public static List<Path> write(RunData run) throws IOException {
        Path jobs = run.folder.resolve("jobs.parquet");
        Path seconds = run.folder.resolve("seconds.parquet");
        Files.deleteIfExists(jobs);
        Files.deleteIfExists(seconds);
        try (ParquetWriter<Row> w =
                ParquetWriter.writeFile(
                        JOBS,
                        jobs.toFile(),
                        (r, v) -> {
                            v.write("id", r.id());
                            v.write("job", r.job());
                            v.write("class", r.jobClass());
                            v.write("tenant", r.tenant());
                            v.write("attempt", (long) r.attempt());
                            v.write("intended_us", r.intended());
                            v.write("sent_us", r.sent());
                            v.write("answered_us", r.answered());
                            v.write("latency_us", r.latency());
                            v.write("status", (long) r.status());
                            v.write("end", r.end().name());
                            if (r.worker() != null) {
                                v.write("worker", r.worker());
                            }
                            v.write("retry_after_s", r.retryAfter());
                            v.write("deadline_us", r.deadline());
                        })) {
            for (Row r : run.rows) {
                w.write(r);
            }
        }
        record Cell(int second, String jobClass, Second counts) {}
        List<Cell> cells = new ArrayList<>();
        seconds(run)
                .forEach((c, of) -> of.forEach((s, counts) -> cells.add(new Cell(s, c, counts))));
        try (ParquetWriter<Cell> w =
                ParquetWriter.writeFile(
                        SECONDS,
                        seconds.toFile(),
                        (c, v) -> {
                            v.write("second", (long) c.second());
                            v.write("class", c.jobClass());
                            v.write("offered", c.counts().offered);
                            v.write("sent", c.counts().sent);
                            v.write("answered", c.counts().answered);
                            v.write("served", c.counts().served);
                            v.write("refused", c.counts().refused);
                            v.write("failed", c.counts().failed);
                            v.write("p50_ms", c.counts().ms(50));
                            v.write("p95_ms", c.counts().ms(95));
                            v.write("p99_ms", c.counts().ms(99));
                        })) {
            for (Cell c : cells) {
                w.write(c);
            }
        }
        return List.of(jobs, seconds);
    }

    /** How many of each end there are, by whatever a row is told by. */
    public static Map<String, Map<End, Long>> ends(
            RunData run, java.util.function.Function<Row, String> by) {
        Map<String, Map<End, Long>> counts = new TreeMap<>();
        for (Row r : run.rows) {
            counts.computeIfAbsent(by.apply(r), k -> new HashMap<>()).merge(r.end(), 1L, Long::sum);
        }
        return counts;
    }
}

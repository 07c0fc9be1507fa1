package postgrade.load.convert;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import postgrade.load.imports.ImportReport;
import postgrade.load.source.Cause;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceReader;
import postgrade.trace.wire.Header;

/**
 * What a trace holds: rate over time, mix by class and tenant, retries, and what its import found.
 */
public final class Inspection {

    private static final int MOST_ROWS = 24;
    private static final int BAR = 50;

    private final Header header;
    private final long jobs;
    private final long lastMicros;
    private final long bucketMicros;
    private final List<Long> buckets = new ArrayList<>();
    private final Map<String, Long> classes = new TreeMap<>();
    private final Map<String, Long> tenants = new TreeMap<>();
    private final Map<Integer, Long> statuses = new TreeMap<>();
    private final Map<Integer, Long> attempts = new TreeMap<>();
    private long keyed;
    private long undated;
    private ImportReport imported;

    private Inspection(TraceReader r) throws IOException {
        header = r.header();
        jobs = r.jobs();
        lastMicros = r.lastMicros();
        long wanted = Math.max(1_000_000, lastMicros / MOST_ROWS);
        long nice = 1_000_000;
        for (long step :
                new long[] {
                    1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 900, 1800, 3600, 7200, 14400, 86400
                }) {
            nice = step * 1_000_000;
            if (nice >= wanted) {
                break;
            }
        }
        bucketMicros = Math.max(nice, lastMicros / (4 * MOST_ROWS) + 1);
        for (TraceJob j = r.next(); j != null; j = r.next()) {
            add(j);
        }
    }

    /** Reads the whole trace. @param imported how it was made just now, or null */
    public static Inspection of(Path trace, ImportReport imported) throws IOException {
        try (TraceReader r = new TraceReader(trace)) {
            Inspection i = new Inspection(r);
            i.imported = imported;
            return i;
        }
    }

    private void add(TraceJob j) {
        int at = (int) (j.atMicros() / bucketMicros);
        while (buckets.size() <= at) {
            buckets.add(0L);
        }
        buckets.set(at, buckets.get(at) + 1);
        classes.merge(j.jobClass(), 1L, Long::sum);
        tenants.merge(j.tenant() == null ? "(none)" : j.tenant(), 1L, Long::sum);
        statuses.merge(j.status(), 1L, Long::sum);
        attempts.merge(j.attempt(), 1L, Long::sum);
        keyed += j.key() == null ? 0 : 1;
        undated += j.deadlineMicros() == 0 ? 1 : 0;
    }

    /** For people. */
    public String text() {
        StringWriter text = new StringWriter();
        PrintWriter out = new PrintWriter(text);
        double seconds = lastMicros / 1e6;
        out.printf(Locale.ROOT, "%d jobs in %.3f s, from %s", jobs, seconds, start());
        out.printf(Locale.ROOT, "; %.1f a second%n", seconds > 0 ? jobs / seconds : 0);
        out.printf(
                "made by %s%s%n",
                header.getMadeBy(), header.getPlan().isEmpty() ? "" : ", plan " + header.getPlan());
        header.getSourcesList()
                .forEach(
                        s ->
                                out.printf(
                                        "source %s: %s, %d entries%s%n",
                                        s.getName(),
                                        s.getFormat(),
                                        s.getEntries(),
                                        s.getSha256().isEmpty()
                                                ? ""
                                                : ", sha256 " + s.getSha256().substring(0, 16)));
        out.println();
        long most = buckets.stream().mapToLong(n -> n).max().orElse(1);
        out.printf(
                Locale.ROOT,
                "rate over time, in steps of %.0f s (jobs a second)%n",
                bucketMicros / 1e6);
        for (int i = 0; i < buckets.size(); i++) {
            long n = buckets.get(i);
            out.printf(
                    Locale.ROOT,
                    "  %10.0f s  %9.1f  %s%n",
                    i * (bucketMicros / 1e6),
                    n / (bucketMicros / 1e6),
                    "#".repeat((int) (n * BAR / Math.max(1, most))));
        }
        mix(out, "class", classes);
        mix(out, "tenant", tenants);
        mix(out, "status as recorded", statuses);
        mix(out, "try", attempts);
        out.printf("%n%d with a key, %d without a deadline%n", keyed, undated);
        if (imported != null) {
            anomalies(out);
        }
        return text.toString();
    }

    private String start() {
        return Instant.EPOCH
                .plus(header.getStartUnixMicros(), java.time.temporal.ChronoUnit.MICROS)
                .toString();
    }

    private void mix(PrintWriter out, String what, Map<?, Long> counts) {
        out.printf("%nby %s%n", what);
        counts.forEach(
                (k, n) ->
                        out.printf(
                                Locale.ROOT,
                                "  %-24s %10d  %6.2f%%%n",
                                k,
                                n,
                                100.0 * n / Math.max(1, jobs)));
    }

    private void anomalies(PrintWriter out) {
        out.printf(
                "%nimport: %d entries = %d jobs + %d left out by the plan + %d rejected%n",
                imported.entries, imported.jobs, imported.droppedCount(), imported.rejectedCount());
        imported.dropped.forEach(
                (reason, n) -> out.printf("  %-24s %10d  left out: %s%n", "dropped", n, reason));
        imported.rejected.forEach(
                (c, n) -> out.printf("  %-24s %10d  rejected: %s%n", c.key(), n, c.meaning));
        imported.repaired.forEach(
                (c, n) -> out.printf("  %-24s %10d  mended: %s%n", c.key(), n, c.meaning));
    }

    /** For programs. */
    public String json() throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator g = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            g.writeStartObject();
            g.writeNumberField("jobs", jobs);
            g.writeNumberField("seconds", lastMicros / 1e6);
            g.writeStringField("start", start());
            g.writeStringField("made_by", header.getMadeBy());
            g.writeStringField("plan", header.getPlan());
            g.writeArrayFieldStart("sources");
            for (postgrade.trace.wire.Source s : header.getSourcesList()) {
                g.writeStartObject();
                g.writeStringField("name", s.getName());
                g.writeStringField("format", s.getFormat());
                g.writeNumberField("entries", s.getEntries());
                g.writeNumberField("bytes", s.getBytes());
                g.writeStringField("sha256", s.getSha256());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeNumberField("step_seconds", bucketMicros / 1e6);
            g.writeArrayFieldStart("jobs_by_step");
            for (long n : buckets) {
                g.writeNumber(n);
            }
            g.writeEndArray();
            counts(g, "by_class", classes);
            counts(g, "by_tenant", tenants);
            counts(g, "by_status", statuses);
            counts(g, "by_try", attempts);
            g.writeNumberField("with_key", keyed);
            g.writeNumberField("without_deadline", undated);
            if (imported != null) {
                g.writeObjectFieldStart("import");
                g.writeNumberField("entries", imported.entries);
                counts(g, "dropped", imported.dropped);
                counts(g, "rejected", keyed(imported.rejected));
                counts(g, "repaired", keyed(imported.repaired));
                g.writeEndObject();
            }
            g.writeEndObject();
        }
        return text + "\n";
    }

    private static Map<String, Long> keyed(Map<Cause, Long> counts) {
        Map<String, Long> byKey = new TreeMap<>();
        counts.forEach((c, n) -> byKey.put(c.key(), n));
        return byKey;
    }

    private static void counts(JsonGenerator g, String name, Map<?, Long> counts)
            throws IOException {
        g.writeObjectFieldStart(name);
        for (Map.Entry<?, Long> e : counts.entrySet()) {
            g.writeNumberField(String.valueOf(e.getKey()), e.getValue());
        }
        g.writeEndObject();
    }
}

package postgrade.load.convert;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.Map;
import java.util.zip.GZIPOutputStream;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceReader;

/**
 * Writes a trace in the forms that `load import` reads. What each form cannot hold is told in
 * docs/load.md.
 */
public final class Converter {

    /** The forms by the end of a file's name. */
    public enum Form {
        HAR,
        COMBINED,
        JSONL,
        PARQUET
    }

    private static final Map<String, String> OPERATIONS =
            Map.of(
                    "basket-price",
                    "price",
                    "slot-check",
                    "slots",
                    "route-plan",
                    "route",
                    "order-confirm",
                    "confirm");
    private static final DateTimeFormatter CLF =
            DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ENGLISH)
                    .withZone(ZoneOffset.UTC);

    private Converter() {}

    /**
     * @throws IllegalArgumentException if the name ends in none that is known
     */
    public static Form formOf(String name) {
        String n = name.toLowerCase(Locale.ROOT);
        n = n.endsWith(".gz") ? n.substring(0, n.length() - 3) : n;
        return n.endsWith(".har")
                ? Form.HAR
                : n.endsWith(".log")
                        ? Form.COMBINED
                        : n.endsWith(".jsonl")
                                ? Form.JSONL
                                : n.endsWith(".parquet") ? Form.PARQUET : unknown(name);
    }

    private static Form unknown(String name) {
        throw new IllegalArgumentException(
                name + ": its form is told by its end: .har, .log, .jsonl, .parquet, .trace");
    }

    /**
     * Writes the whole trace; the file has its name only once it is whole. Returns the number of
     * jobs.
     */
    public static long write(Path trace, Path out, Form form) throws IOException {
        Path part = out.resolveSibling(out.getFileName() + ".part");
        try (TraceReader r = new TraceReader(trace)) {
            if (form == Form.PARQUET) {
                TraceTable.write(r, part);
            } else {
                try (Writer w = writer(part, out.toString().endsWith(".gz"))) {
                    switch (form) {
                        case HAR -> har(r, w);
                        case COMBINED -> combined(r, w);
                        default -> jsonLines(r, w);
                    }
                }
            }
            Files.move(
                    part, out, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            return r.jobs();
        } finally {
            Files.deleteIfExists(part);
        }
    }

    private static Writer writer(Path file, boolean packed) throws IOException {
        OutputStream out = Files.newOutputStream(file);
        return new BufferedWriter(
                new OutputStreamWriter(
                        packed ? new GZIPOutputStream(out, 1 << 16) : out, StandardCharsets.UTF_8),
                1 << 16);
    }

    private static Instant at(TraceReader r, TraceJob j) {
        return Instant.EPOCH.plus(
                r.header().getStartUnixMicros() + j.atMicros(),
                java.time.temporal.ChronoUnit.MICROS);
    }

    private static String target(TraceJob j) {
        String operation = OPERATIONS.getOrDefault(j.jobClass(), j.jobClass());
        StringBuilder t =
                new StringBuilder("/api/")
                        .append(encoded(j.tenant() == null ? "-" : j.tenant()))
                        .append('/')
                        .append(encoded(operation));
        char next = '?';
        if (j.key() != null) {
            t.append(next).append("key=").append(encoded(j.key()));
            next = '&';
        }
        if (j.deadlineMicros() > 0) {
            t.append(next).append("deadline=").append(j.deadlineMicros() / 1000);
        }
        return t.toString();
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static void combined(TraceReader r, Writer w) throws IOException {
        long second = Long.MIN_VALUE;
        String stamp = "";
        for (TraceJob j = r.next(); j != null; j = r.next()) {
            Instant at = at(r, j);
            if (at.getEpochSecond() != second) {
                second = at.getEpochSecond();
                stamp = CLF.format(at);
            }
            w.write("127.0.0.1 - - [");
            w.write(stamp);
            w.write("] \"POST ");
            w.write(target(j));
            w.write(" HTTP/1.1\" ");
            w.write(j.status() == 0 ? "-" : Integer.toString(j.status()));
            w.write(" - \"-\" \"postgrade\"\n");
        }
    }

    private static void jsonLines(TraceReader r, Writer w) throws IOException {
        try (JsonGenerator g = new JsonFactory().createGenerator(w)) {
            g.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
            for (TraceJob j = r.next(); j != null; j = r.next()) {
                g.writeStartObject();
                g.writeStringField("time", at(r, j).toString());
                g.writeStringField("class", j.jobClass());
                if (j.tenant() != null) {
                    g.writeStringField("tenant", j.tenant());
                }
                if (j.key() != null) {
                    g.writeStringField("key", j.key());
                }
                g.writeNumberField("deadline_us", j.deadlineMicros());
                g.writeNumberField("body_bytes", j.bodyBytes());
                if (j.status() != 0) {
                    g.writeNumberField("status", j.status());
                }
                if (j.durationMicros() >= 0) {
                    g.writeNumberField("duration_us", j.durationMicros());
                }
                if (j.isRetry()) {
                    g.writeBooleanField("retry", true);
                }
                g.writeEndObject();
            }
            g.writeRaw("\n");
        }
    }

    private static void har(TraceReader r, Writer w) throws IOException {
        try (JsonGenerator g = new JsonFactory().createGenerator(w)) {
            g.writeStartObject();
            g.writeObjectFieldStart("log");
            g.writeStringField("version", "1.2");
            g.writeObjectFieldStart("creator");
            g.writeStringField("name", "postgrade");
            g.writeStringField("version", "1");
            g.writeEndObject();
            g.writeArrayFieldStart("entries");
            for (TraceJob j = r.next(); j != null; j = r.next()) {
                entry(g, r, j);
                g.writeRaw("\n");
            }
            g.writeEndArray();
            g.writeEndObject();
            g.writeEndObject();
        }
    }

    private static void entry(JsonGenerator g, TraceReader r, TraceJob j) throws IOException {
        double ms = j.durationMicros() / 1000.0;
        g.writeStartObject();
        g.writeStringField("startedDateTime", at(r, j).toString());
        if (j.durationMicros() >= 0) {
            g.writeNumberField("time", ms);
        }
        g.writeObjectFieldStart("request");
        g.writeStringField("method", "POST");
        g.writeStringField("url", "http://backend.local" + target(j));
        g.writeStringField("httpVersion", "HTTP/1.1");
        g.writeArrayFieldStart("headers");
        header(g, "X-Class", j.jobClass());
        header(g, "X-Tenant", j.tenant());
        header(g, "X-Key", j.key());
        header(g, "X-Deadline", j.deadlineMicros() == 0 ? null : j.deadlineMicros() + "u");
        header(g, "X-Retry", j.isRetry() ? "1" : null);
        g.writeEndArray();
        g.writeNumberField("headersSize", -1);
        g.writeNumberField("bodySize", j.bodyBytes());
        g.writeEndObject();
        g.writeObjectFieldStart("response");
        g.writeNumberField("status", j.status());
        g.writeNumberField("headersSize", -1);
        g.writeNumberField("bodySize", -1);
        g.writeEndObject();
        g.writeObjectFieldStart("cache");
        g.writeEndObject();
        g.writeObjectFieldStart("timings");
        g.writeNumberField("send", 0);
        g.writeNumberField("wait", Math.max(0, ms));
        g.writeNumberField("receive", 0);
        g.writeEndObject();
        g.writeEndObject();
    }

    private static void header(JsonGenerator g, String name, String value) throws IOException {
        if (value != null) {
            g.writeStartObject();
            g.writeStringField("name", name);
            g.writeStringField("value", value);
            g.writeEndObject();
        }
    }
}

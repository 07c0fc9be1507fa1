package postgrade.load.source;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * One JSON object a line. Fields go by the names that loggers commonly use; all others can be asked
 * for by name.
 */
final class JsonLinesSource implements Source {

    private static final int MOST_DEPTH = 8;
    private static final Map<String, String> NAMES =
            Map.ofEntries(
                    Map.entry("request", Fields.REQUEST),
                    Map.entry("method", Fields.METHOD),
                    Map.entry("request_method", Fields.METHOD),
                    Map.entry("path", Fields.TARGET),
                    Map.entry("url", Fields.TARGET),
                    Map.entry("uri", Fields.TARGET),
                    Map.entry("target", Fields.TARGET),
                    Map.entry("request_uri", Fields.TARGET),
                    Map.entry("client", Fields.CLIENT),
                    Map.entry("remote_addr", Fields.CLIENT),
                    Map.entry("ip", Fields.CLIENT),
                    Map.entry("user", Fields.USER),
                    Map.entry("remote_user", Fields.USER),
                    Map.entry("host", Fields.HOST));

    private final JsonFactory json = new JsonFactory();

    @Override
    public String name() {
        return "jsonl";
    }

    @Override
    public void read(InputStream in, Policies policies, Sink sink) throws IOException {
        Lines lines = new Lines(in);
        MapEntry entry = new MapEntry();
        long number = 0;
        while (lines.next()) {
            entry.line = ++number;
            if (lines.length == 0 && !lines.hadNuls) {
                continue;
            }
            String text = LogSource.shown(lines.bytes, lines.length);
            if (lines.tooLong) {
                sink.rejected(Cause.TOO_LONG, number, text);
            } else if (lines.hadNuls
                    && (lines.length == 0 || policies.of(Cause.NUL_BYTES).equals("reject"))) {
                sink.rejected(Cause.NUL_BYTES, number, text);
            } else {
                boolean utf8 = Utf8.valid(lines.bytes, lines.length);
                if (!utf8 && policies.of(Cause.BAD_UTF8).equals("reject")) {
                    sink.rejected(Cause.BAD_UTF8, number, text);
                    continue;
                }
                Cause wrong =
                        parse(
                                new String(lines.bytes, 0, lines.length, StandardCharsets.UTF_8),
                                lines.unended,
                                policies,
                                entry);
                if (wrong != null) {
                    sink.rejected(wrong, number, text);
                    continue;
                }
                if (!utf8) {
                    sink.repaired(Cause.BAD_UTF8, number, text);
                }
                if (lines.hadNuls) {
                    sink.repaired(Cause.NUL_BYTES, number, text);
                }
                sink.entry(entry);
            }
        }
    }

    private Cause parse(String text, boolean last, Policies policies, MapEntry e)
            throws IOException {
        e.clear();
        try (JsonParser p = json.createParser(text)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                return Cause.BAD_JSON;
            }
            object(p, "", e, 0);
            if (p.nextToken() != null) {
                return Cause.BAD_JSON;
            }
        } catch (JsonProcessingException ex) {
            return last ? Cause.TRUNCATED : Cause.BAD_JSON;
        }
        e.status = (int) number(e, 0, "status", "status_code", "code");
        e.received = number(e, -1, "bytes_received", "request_length", "body_bytes");
        e.sent = number(e, -1, "bytes_sent", "bytes", "body_bytes_sent");
        e.durationMicros = duration(e);
        for (String name : new String[] {"time", "timestamp", "@timestamp", "ts", "at"}) {
            String t = e.fields.get(name);
            if (t != null) {
                return time(t, policies, e) ? null : Cause.BAD_TIME;
            }
        }
        return Cause.BAD_TIME;
    }

    private static void object(JsonParser p, String path, MapEntry e, int depth)
            throws IOException {
        for (JsonToken t = p.nextToken(); t != JsonToken.END_OBJECT; t = p.nextToken()) {
            String name = p.currentName();
            t = p.nextToken();
            String at = path + name;
            if (t == JsonToken.START_OBJECT && depth < MOST_DEPTH) {
                object(p, name.equals("headers") ? "header:" : at + ".", e, depth + 1);
            } else if (t.isStructStart()) {
                p.skipChildren();
            } else if (t != JsonToken.VALUE_NULL) {
                String value = p.getText();
                e.fields.put(at.startsWith("header:") ? at.toLowerCase(Locale.ROOT) : at, value);
                String known = NAMES.get(at);
                if (known != null) {
                    e.fields.putIfAbsent(known, value);
                }
            }
        }
        String request = e.fields.get(Fields.REQUEST);
        if (depth == 0 && request != null && request.indexOf(' ') > 0) {
            String[] words = request.split(" ");
            e.fields.putIfAbsent(Fields.METHOD, words[0]);
            e.fields.putIfAbsent(Fields.TARGET, words[1]);
        }
        if (depth == 0 && "true".equals(e.fields.get("retry"))) {
            e.fields.putIfAbsent("header:x-retry", "1");
        }
    }

    private static long number(MapEntry e, long absent, String... names) {
        for (String name : names) {
            String v = e.fields.get(name);
            if (v != null && v.matches("[0-9]{1,15}")) {
                return Long.parseLong(v);
            }
        }
        return absent;
    }

    private static long duration(MapEntry e) {
        Map<String, Double> units =
                Map.of(
                        "duration_us",
                        1.0,
                        "duration_ms",
                        1e3,
                        "latency_ms",
                        1e3,
                        "elapsed_ms",
                        1e3,
                        "duration_s",
                        1e6,
                        "request_time",
                        1e6);
        for (Map.Entry<String, Double> u : units.entrySet()) {
            String v = e.fields.get(u.getKey());
            if (v != null && v.matches("[0-9]{1,15}(\\.[0-9]{1,15})?")) {
                return Math.round(Double.parseDouble(v) * u.getValue());
            }
        }
        return -1;
    }

    private static boolean time(String t, Policies policies, MapEntry e) {
        if (!t.matches("[0-9]{9,17}(\\.[0-9]{1,9})?")) {
            return Stamps.iso(t, policies.zone, e);
        }
        int whole = t.indexOf('.') < 0 ? t.length() : t.indexOf('.');
        // Seconds have 9 to 11 digits in this age, milliseconds 12 to 14, microseconds more.
        long unit = whole > 14 ? 1 : whole > 11 ? 1000 : 1_000_000;
        byte[] bytes = t.getBytes(StandardCharsets.ISO_8859_1);
        return Stamps.unix(unit).read(bytes, 0, bytes.length, e);
    }
}

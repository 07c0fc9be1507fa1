package postgrade.load.source;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.ZoneId;
import java.util.Base64;
import java.util.Locale;

/**
 * HAR 1.1 and 1.2, read entry by entry: bodies of answers are passed over, so a file may be larger
 * than memory.
 */
final class HarSource implements Source {

    private static final int MOST_TEXT = 64 << 20;

    private final JsonFactory json =
            JsonFactory.builder()
                    .disable(StreamReadFeature.AUTO_CLOSE_SOURCE)
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxStringLength(MOST_TEXT).build())
                    .build();

    /** Anomalies of the entry being read, told once it is whole. */
    private boolean negative;

    private boolean webSocket;
    private boolean cached;
    private boolean timed;
    private double timings;
    private String postText;
    private boolean base64;

    @Override
    public String name() {
        return "har";
    }

    @Override
    public void read(InputStream in, Policies policies, Sink sink) throws IOException {
        in.mark(3);
        byte[] bom = in.readNBytes(3);
        if (!(bom.length == 3
                && bom[0] == (byte) 0xef
                && bom[1] == (byte) 0xbb
                && bom[2] == (byte) 0xbf)) {
            in.reset();
        }
        MapEntry entry = new MapEntry();
        entry.line = 0;
        JsonParser p = json.createParser(in);
        try {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                sink.rejected(Cause.BAD_JSON, 1, "not a HAR file: no object");
                return;
            }
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                boolean log = p.currentName().equals("log");
                if (p.nextToken() == JsonToken.START_OBJECT && log) {
                    log(p, entry, policies, sink);
                } else {
                    p.skipChildren();
                }
            }
        } catch (JsonProcessingException e) {
            // Whatever came whole before this has been taken.
            boolean atEnd =
                    p.releaseBuffered(java.io.OutputStream.nullOutputStream()) <= 0
                            && in.read() < 0;
            sink.rejected(
                    atEnd ? Cause.TRUNCATED : Cause.BAD_JSON,
                    entry.line + 1,
                    "after " + entry.line + " entries: " + e.getOriginalMessage());
        }
    }

    private void log(JsonParser p, MapEntry entry, Policies policies, Sink sink)
            throws IOException {
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            boolean entries = p.currentName().equals("entries");
            if (p.nextToken() == JsonToken.START_ARRAY && entries) {
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    long number = entry.line;
                    if (p.currentToken() == JsonToken.START_OBJECT) {
                        one(p, entry);
                        entry.line = number + 1;
                        tell(entry, policies, sink);
                    } else {
                        entry.line = number + 1;
                        p.skipChildren();
                        sink.rejected(Cause.BAD_JSON, entry.line, "not an entry");
                    }
                }
            } else {
                p.skipChildren();
            }
        }
    }

    private void one(JsonParser p, MapEntry e) throws IOException {
        e.clear();
        negative = false;
        webSocket = false;
        cached = false;
        timed = false;
        timings = -1;
        postText = null;
        base64 = false;
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            JsonToken t = p.nextToken();
            switch (name) {
                case "startedDateTime" -> e.fields.put("started", p.getText());
                case "time" -> time(p, t, e);
                case "request" -> request(p, e);
                case "response" -> response(p, e);
                case "timings" -> timings(p, t);
                case "_webSocketMessages" -> {
                    webSocket = true;
                    p.skipChildren();
                }
                case "_resourceType" -> webSocket |= "websocket".equals(p.getText());
                case "_fromCache", "fromCache", "_fromDiskCache" ->
                        cached |= t != JsonToken.VALUE_FALSE && t != JsonToken.VALUE_NULL;
                default -> p.skipChildren();
            }
        }
    }

    private void time(JsonParser p, JsonToken t, MapEntry e) throws IOException {
        if (t.isNumeric()) {
            double ms = p.getDoubleValue();
            timed = true;
            negative |= ms < 0;
            e.durationMicros = ms < 0 ? -1 : Math.round(ms * 1000);
        } else {
            p.skipChildren();
        }
    }

    /**
     * The parts of a duration; -1 stands for one that does not apply, anything else below 0 is
     * wrong.
     */
    private void timings(JsonParser p, JsonToken t) throws IOException {
        if (t != JsonToken.START_OBJECT) {
            p.skipChildren();
            return;
        }
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String part = p.currentName();
            if (p.nextToken().isNumeric()) {
                double ms = p.getDoubleValue();
                negative |= ms < 0 && ms != -1;
                if (ms > 0 && !part.equals("ssl") && !part.startsWith("_")) { // Part of connect.
                    timings = Math.max(0, timings) + ms;
                }
            } else {
                p.skipChildren();
            }
        }
    }

    private void request(JsonParser p, MapEntry e) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            p.skipChildren();
            return;
        }
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            JsonToken t = p.nextToken();
            switch (name) {
                case "method" -> e.fields.put(Fields.METHOD, p.getText());
                case "url" -> e.fields.put(Fields.TARGET, p.getText());
                case "httpVersion" -> e.fields.put(Fields.PROTOCOL, p.getText());
                case "bodySize" -> e.received = t.isNumeric() ? p.getLongValue() : -1;
                case "headers" -> headers(p, e);
                case "postData" -> postData(p);
                default -> p.skipChildren();
            }
        }
    }

    private static void headers(JsonParser p, MapEntry e) throws IOException {
        if (p.currentToken() != JsonToken.START_ARRAY) {
            p.skipChildren();
            return;
        }
        while (p.nextToken() == JsonToken.START_OBJECT) {
            String header = null;
            String value = null;
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String name = p.currentName();
                JsonToken t = p.nextToken();
                if (t == JsonToken.VALUE_STRING && name.equals("name")) {
                    header = p.getText();
                } else if (t == JsonToken.VALUE_STRING && name.equals("value")) {
                    value = p.getText();
                } else {
                    p.skipChildren();
                }
            }
            if (header != null && value != null) {
                e.fields.putIfAbsent("header:" + header.toLowerCase(Locale.ROOT), value);
            }
        }
    }

    private void postData(JsonParser p) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            p.skipChildren();
            return;
        }
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            JsonToken t = p.nextToken();
            if (t == JsonToken.VALUE_STRING && name.equals("text")) {
                postText = p.getText();
            } else if (t == JsonToken.VALUE_STRING
                    && (name.equals("encoding") || name.equals("_encoding"))) {
                base64 = p.getText().equals("base64");
            } else {
                p.skipChildren();
            }
        }
    }

    private static void response(JsonParser p, MapEntry e) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            p.skipChildren();
            return;
        }
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            JsonToken t = p.nextToken();
            if (name.equals("status") && t.isNumeric()) {
                int status = p.getIntValue();
                e.status = status < 0 || status > 999 ? 0 : status;
            } else if (name.equals("bodySize") && t.isNumeric()) {
                e.sent = p.getLongValue();
            } else {
                p.skipChildren();
            }
        }
    }

    private void tell(MapEntry e, Policies policies, Sink sink) throws IOException {
        String shown =
                e.fields.getOrDefault(Fields.METHOD, "?")
                        + " "
                        + e.fields.getOrDefault(Fields.TARGET, "?");
        String started = e.fields.get("started");
        if (started == null || !Stamps.iso(started, ZoneId.of("UTC"), e)) {
            sink.rejected(Cause.BAD_TIME, e.line, shown);
            return;
        }
        if ((webSocket || e.status == 101) && drops(Cause.WEBSOCKET, policies, sink, e, shown)
                || cached && drops(Cause.CACHED, policies, sink, e, shown)) {
            return;
        }
        if (e.received < 0 && postText != null) {
            e.received = bodyBytes();
        }
        if (negative) {
            if (policies.of(Cause.NEGATIVE_TIMING).equals("reject")) {
                sink.rejected(Cause.NEGATIVE_TIMING, e.line, shown);
                return;
            }
            sink.repaired(Cause.NEGATIVE_TIMING, e.line, shown);
        } else if (!timed) {
            if (timings >= 0) {
                e.durationMicros = Math.round(timings * 1000);
            } else if (policies.of(Cause.MISSING_TIMING).equals("reject")) {
                sink.rejected(Cause.MISSING_TIMING, e.line, shown);
                return;
            } else {
                sink.repaired(Cause.MISSING_TIMING, e.line, shown);
            }
        }
        sink.entry(e);
    }

    private static boolean drops(
            Cause cause, Policies policies, Sink sink, MapEntry e, String shown)
            throws IOException {
        if (policies.of(cause).equals("drop")) {
            sink.rejected(cause, e.line, shown);
            return true;
        }
        return false;
    }

    private long bodyBytes() {
        if (base64) {
            try {
                return Base64.getMimeDecoder().decode(postText).length;
            } catch (IllegalArgumentException e) {
                return postText.length() * 3L / 4;
            }
        }
        return postText.getBytes(StandardCharsets.UTF_8).length;
    }
}

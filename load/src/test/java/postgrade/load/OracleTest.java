package postgrade.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import de.sstoehr.harreader.HarReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import nl.basjes.parse.core.Field;
import nl.basjes.parse.core.Parser;
import nl.basjes.parse.httpdlog.HttpdLoglineParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.load.convert.Converter;
import postgrade.load.generate.Friday;
import postgrade.load.source.Cause;
import postgrade.load.source.Entry;
import postgrade.load.source.Fields;
import postgrade.load.source.Formats;
import postgrade.load.source.LogFormat;
import postgrade.load.source.Policies;
import postgrade.load.source.Sink;

/** Readers of ours against well-known ones: the same fields on every line of a fuzzed corpus. */
class OracleTest {

    /** What the other parser is asked for; public, since it sets the fields by reflection. */
    public static final class Record {
        private final List<String> got = new ArrayList<>();

        @Field("IP:connection.client.host")
        public void setClient(String v) {
            put(0, v);
        }

        @Field("TIME.EPOCH:request.receive.time.epoch")
        public void setTime(Long v) {
            put(1, String.valueOf(v));
        }

        @Field("HTTP.METHOD:request.firstline.method")
        public void setMethod(String v) {
            put(2, v);
        }

        @Field("HTTP.URI:request.firstline.uri")
        public void setUri(String v) {
            put(3, v);
        }

        @Field("STRING:request.status.last")
        public void setStatus(String v) {
            put(4, v);
        }

        @Field("HTTP.USERAGENT:request.user-agent")
        public void setAgent(String v) {
            put(5, v);
        }

        private void put(int at, String v) {
            while (got.size() <= at) {
                got.add("");
            }
            got.set(at, v == null ? "" : v);
        }
    }

    /** Entries as texts, and rejected lines. */
    private static final class Kept implements Sink {
        final List<List<String>> entries = new ArrayList<>();
        final List<Cause> rejected = new ArrayList<>();

        @Override
        public void entry(Entry e) {
            entries.add(
                    List.of(
                            or(e.field(Fields.CLIENT)),
                            String.valueOf(e.timeMicros / 1000),
                            or(e.field(Fields.METHOD)),
                            e.target(),
                            e.status() == 0 ? "" : "" + e.status(),
                            or(e.field("header:user-agent"))));
        }

        private static String or(String s) {
            return s == null ? "" : s;
        }

        @Override
        public void repaired(Cause cause, long line, String text) {}

        @Override
        public void rejected(Cause cause, long line, String text) {
            rejected.add(cause);
        }
    }

    private static Kept ours(String line) throws Exception {
        Kept kept = new Kept();
        Formats.named("combined", ZoneId.of("UTC"))
                .read(
                        new java.io.ByteArrayInputStream(
                                (line + "\n").getBytes(StandardCharsets.UTF_8)),
                        new Policies(),
                        kept);
        return kept;
    }

    @Test
    void theSameFieldsAsAnotherParserOnEveryLineOfAFuzzedCorpus() throws Exception {
        Parser<Record> parser = new HttpdLoglineParser<>(Record.class, LogFormat.COMBINED);
        Random random = new Random(11);
        String[] paths = {
            "/",
            "/api/kvart/price?key=a",
            "/a%20b",
            "/x?y=z&a=b",
            "/p/q/r",
            "/api/t/confirm?deadline=5"
        };
        String[] agents = {
            "-", "Mozilla/5.0 (X11; Linux)", "curl/8", "a \\\"quoted\\\" one", "back\\\\slash"
        };
        String[] months = {
            "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"
        };
        for (int i = 0; i < 4000; i++) {
            String line =
                    String.format(
                            "10.%d.%d.%d - %s [%02d/%s/20%02d:%02d:%02d:%02d %s%02d00] \"%s %s HTTP/1.%d\" %s %s"
                                    + " \"%s\" \"%s\"",
                            random.nextInt(256),
                            random.nextInt(256),
                            random.nextInt(256),
                            random.nextBoolean() ? "-" : "user" + i,
                            1 + random.nextInt(28),
                            months[random.nextInt(12)],
                            20 + random.nextInt(10),
                            random.nextInt(24),
                            random.nextInt(60),
                            random.nextInt(60),
                            random.nextBoolean() ? "+" : "-",
                            random.nextInt(12),
                            random.nextBoolean() ? "GET" : "POST",
                            paths[random.nextInt(paths.length)],
                            random.nextInt(2),
                            100 + random.nextInt(500),
                            random.nextBoolean() ? "-" : "" + random.nextInt(100_000),
                            random.nextBoolean() ? "-" : "http://a/b",
                            agents[random.nextInt(agents.length)]);
            Record theirs = parser.parse(new Record(), line);
            Kept kept = ours(line);
            assertEquals(1, kept.entries.size(), line);
            List<String> want = new ArrayList<>(theirs.got);
            while (want.size() < 6) {
                want.add("");
            }
            want.set(
                    5,
                    want.get(5)
                            .replace("\\\"", "\"")
                            .replace("\\\\", "\\")); // They leave escapes as written.
            assertEquals(want, kept.entries.get(0), line);
        }
    }

    @Test
    void noBytesMakeAReaderThrow() throws Exception {
        Random random = new Random(12);
        String good =
                "10.0.0.1 - - [23/Oct/2026:10:00:00 +0000] \"POST /api/t/price?key=a HTTP/1.1\" 200 1 \"-\" \"x\"";
        String har =
                "{\"log\":{\"entries\":[{\"startedDateTime\":\"2026-10-23T10:00:00Z\",\"time\":1,\"request\":"
                        + "{\"method\":\"POST\",\"url\":\"/\",\"headers\":[{\"name\":\"X-Class\",\"value\":\"c\"}],\"bodySize\":1},"
                        + "\"response\":{\"status\":200}}]}}";
        for (int i = 0; i < 4000; i++) {
            String format = List.of("combined", "w3c", "jsonl", "har").get(i % 4);
            byte[] bytes =
                    (i % 4 < 2
                                    ? (i % 4 == 1 ? "#Fields: date time cs-uri-stem\n" : "")
                                            + good
                                            + "\n"
                                            + good
                                    : har)
                            .getBytes(StandardCharsets.UTF_8);
            for (int n = random.nextInt(8); n >= 0; n--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            Kept kept = new Kept();
            Formats.named(format, ZoneId.of("UTC"))
                    .read(
                            new java.io.BufferedInputStream(
                                    new java.io.ByteArrayInputStream(bytes)),
                            new Policies(),
                            kept);
            assertTrue(kept.entries.size() + kept.rejected.size() >= 0);
        }
    }

    @Test
    void aHarThatWeWriteIsReadByAnotherReaderAlike(@TempDir Path folder) throws Exception {
        Friday.Options o = new Friday.Options();
        o.seconds = 5;
        Path trace = folder.resolve("a.trace");
        Friday.write(o, trace, "test");
        Path har = folder.resolve("a.har");
        Converter.write(trace, har, Converter.Form.HAR);
        Kept kept = new Kept();
        try (var in = new java.io.BufferedInputStream(Files.newInputStream(har))) {
            Formats.named("har", ZoneId.of("UTC")).read(in, new Policies(), kept);
        }
        var theirs = new HarReader().readFromFile(har.toFile()).getLog().getEntries();
        assertEquals(theirs.size(), kept.entries.size());
        for (int i = 0; i < theirs.size(); i++) {
            assertEquals(
                    theirs.get(i).getStartedDateTime().getTime(),
                    Long.parseLong(kept.entries.get(i).get(1)));
            assertEquals(theirs.get(i).getRequest().getUrl(), kept.entries.get(i).get(3));
            assertEquals(
                    theirs.get(i).getResponse().getStatus(),
                    Integer.parseInt(kept.entries.get(i).get(4)));
        }
        assertTrue(new JsonFactory().createParser(har.toFile()).nextToken().isStructStart());
    }
}

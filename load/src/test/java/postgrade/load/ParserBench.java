package postgrade.load;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneId;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import nl.basjes.parse.core.Parser;
import nl.basjes.parse.httpdlog.HttpdLoglineParser;
import postgrade.load.source.Cause;
import postgrade.load.source.Entry;
import postgrade.load.source.Fields;
import postgrade.load.source.Formats;
import postgrade.load.source.LogFormat;
import postgrade.load.source.Policies;
import postgrade.load.source.Sink;

/**
 * Times our reader of combined logs against another, in turn in one run: LOG LINES ROUNDS. The same
 * six fields each.
 */
public final class ParserBench {

    private ParserBench() {}

    private static final class Sum implements Sink {
        long entries;
        long sum;

        @Override
        public void entry(Entry e) {
            entries++;
            sum +=
                    e.timeMicros
                            + e.status()
                            + length(e.field(Fields.CLIENT))
                            + length(e.field(Fields.METHOD))
                            + e.target().length()
                            + length(e.field("header:user-agent"));
        }

        private static int length(String s) {
            return s == null ? 0 : s.length();
        }

        @Override
        public void repaired(Cause cause, long line, String text) {}

        @Override
        public void rejected(Cause cause, long line, String text) {}
    }

    public static void main(String[] args) throws Exception {
        List<String> lines;
        try (Stream<String> all = Files.lines(Path.of(args[0]))) {
            lines = all.limit(Long.parseLong(args[1])).toList();
        }
        byte[] bytes = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
        Parser<OracleTest.Record> parser =
                new HttpdLoglineParser<>(OracleTest.Record.class, LogFormat.COMBINED);
        for (int round = 0; round < Integer.parseInt(args[2]); round++) {
            long a = System.nanoTime();
            Sum sum = new Sum();
            Formats.named("combined", ZoneId.of("UTC"))
                    .read(new ByteArrayInputStream(bytes), new Policies(), sum);
            long b = System.nanoTime();
            for (String line : lines) {
                parser.parse(new OracleTest.Record(), line);
            }
            long c = System.nanoTime();
            System.out.printf(
                    Locale.ROOT,
                    "round %d: ours %.0f lines a second, the other %.0f, ratio %.1f (%d, %d)%n",
                    round,
                    1e9 * lines.size() / (b - a),
                    1e9 * lines.size() / (c - b),
                    (c - b) / (double) (b - a),
                    sum.entries,
                    sum.sum);
        }
    }
}

package postgrade.fleet.check;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads ledgers. A line that its writer's death cut off is passed over and counted. */
public final class LedgerReader {

    /** One line of a ledger. */
    public record Line(long micros, String event, String id, String party, String detail) {

        /** The value of {@code name=value} among the detail's words, or null. */
        public String value(String name) {
            for (String word : detail.split(" ")) {
                if (word.startsWith(name)
                        && word.length() > name.length()
                        && word.charAt(name.length()) == '=') {
                    return word.substring(name.length() + 1);
                }
            }
            return null;
        }

        public long number(String name) {
            String v = value(name);
            return v == null ? -1 : Long.parseLong(v);
        }
    }

    private LedgerReader() {}

    public static List<Line> read(Path file) throws IOException {
        List<Line> lines = new ArrayList<>();
        try (var reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                String[] parts = text.split("\t", -1);
                if (parts.length == 5 && parts[0].matches("[0-9]{1,18}")) {
                    lines.add(
                            new Line(
                                    Long.parseLong(parts[0]),
                                    parts[1],
                                    parts[2],
                                    parts[3],
                                    parts[4]));
                }
            }
        }
        return lines;
    }
}

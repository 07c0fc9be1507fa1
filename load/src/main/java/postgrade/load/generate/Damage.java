package postgrade.load.generate;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.OffsetDateTime;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import postgrade.load.source.Cause;

/**
 * Damages a combined log in ways that happen, a known number of times each, to try an import or a
 * plan on.
 */
public final class Damage {

    private static final DateTimeFormatter CLF =
            DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ENGLISH);
    private static final List<Cause> PER_LINE =
            List.of(
                    Cause.TRUNCATED,
                    Cause.INTERLEAVED,
                    Cause.NUL_BYTES,
                    Cause.BAD_UTF8,
                    Cause.TOO_LONG,
                    Cause.BAD_TIME,
                    Cause.NOT_OF_THE_FORMAT);
    private static final int NULS = 100;
    private static final int LONG_LINE = 70_000;

    private Damage() {}

    /**
     * Writes a damaged copy.
     *
     * @param each how often each kind of damage is done to a line; the clock is set once back and
     *     once forward
     * @return how often each anomaly is in the copy
     * @throws IllegalArgumentException if there are too few lines for it
     */
    public static Map<Cause, Long> write(Path log, Path out, int each, long seed)
            throws IOException {
        List<String> lines = Files.readAllLines(log);
        if (lines.size() < 10 * (each + 1) * PER_LINE.size()) {
            throw new IllegalArgumentException(
                    log + ": " + lines.size() + " lines are too few for so much damage");
        }
        Random random = new Random(seed);
        List<Integer> places = new ArrayList<>();
        for (int i = 5; i < lines.size() - 5; i += 3) { // Never two in a row.
            places.add(i);
        }
        Collections.shuffle(places, random);
        Map<Integer, Cause> at = new HashMap<>();
        Map<Cause, Long> done = new EnumMap<>(Cause.class);
        int next = 0;
        for (Cause c : PER_LINE) {
            for (int n = 0; n < each; n++) {
                at.put(places.get(next++), c);
                done.merge(c, 1L, Long::sum);
            }
        }
        int back = lines.size() / 3;
        int forward = 2 * lines.size() / 3;
        try (OutputStream to = new BufferedOutputStream(Files.newOutputStream(out))) {
            for (int i = 0; i < lines.size(); i++) {
                Duration off =
                        i >= forward
                                ? Duration.ofHours(3)
                                : i >= back ? Duration.ofHours(-2) : Duration.ZERO;
                damaged(
                        to,
                        off.isZero() ? lines.get(i) : shifted(lines.get(i), off),
                        at.get(i),
                        lines.get(i - (i > 0 ? 1 : 0)));
            }
        }
        done.put(Cause.CLOCK_BACKWARDS, 1L);
        done.put(Cause.CLOCK_FORWARDS, 1L);
        return done;
    }

    private static String shifted(String line, Duration by) {
        int from = line.indexOf('[');
        int to = line.indexOf(']');
        return line.substring(0, from + 1)
                + CLF.format(OffsetDateTime.parse(line.substring(from + 1, to), CLF).plus(by))
                + line.substring(to);
    }

    private static void damaged(OutputStream to, String line, Cause cause, String before)
            throws IOException {
        String text = line + "\n";
        if (cause == null) {
            write(to, text);
            return;
        }
        switch (cause) {
            case TRUNCATED -> write(to, line.substring(0, line.indexOf('"') + 5) + "\n");
            case INTERLEAVED -> write(to, before.substring(0, 30) + text);
            case NUL_BYTES -> {
                to.write(new byte[NULS]);
                write(to, text);
            }
            case BAD_UTF8 -> {
                byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
                bytes[bytes.length - 4] = (byte) 0xff; // Inside the user agent.
                to.write(bytes);
            }
            case TOO_LONG -> write(to, "x".repeat(LONG_LINE) + "\n");
            case BAD_TIME -> write(to, text.replaceFirst("/[A-Z][a-z][a-z]/", "/Xxx/"));
            default -> write(to, line + " and more\n");
        }
    }

    private static void write(OutputStream to, String text) throws IOException {
        to.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}

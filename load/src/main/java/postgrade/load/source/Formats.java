package postgrade.load.source;

import java.nio.charset.StandardCharsets;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.Map;

/** Chooses how to read a source, by name or by a look at its beginning. */
public final class Formats {

    /** Formats that are looked for. nginx's own default is combined. */
    private static final Map<String, String> KNOWN = new LinkedHashMap<>();

    static {
        KNOWN.put("combined", LogFormat.COMBINED);
        KNOWN.put("combined-us", LogFormat.COMBINED + " %D");
        KNOWN.put("vhost-combined", "%v:%p " + LogFormat.COMBINED);
        KNOWN.put("common", LogFormat.COMMON);
        KNOWN.put("common-us", LogFormat.COMMON + " %D");
    }

    private Formats() {}

    /**
     * @param format {@code auto}, {@code har}, {@code jsonl}, {@code w3c}, {@code common}, {@code
     *     combined}, {@code apache:LOGFORMAT} or {@code nginx:LOG_FORMAT}
     * @throws IllegalArgumentException for an unknown name or a format that is not understood
     */
    public static Source named(String format, ZoneId zone) {
        if (format.startsWith("apache:")) {
            return new LogSource("apache", LogFormat.apache(format.substring(7), zone));
        } else if (format.startsWith("nginx:")) {
            return new LogSource("nginx", LogFormat.nginx(format.substring(6), zone));
        } else if (KNOWN.containsKey(format)) {
            return new LogSource(format, LogFormat.apache(KNOWN.get(format), zone));
        }
        return switch (format) {
            case "har" -> new HarSource();
            case "jsonl" -> new JsonLinesSource();
            case "w3c" -> new LogSource("w3c", null);
            default ->
                    throw new IllegalArgumentException(
                            "unknown format "
                                    + format
                                    + "; known are auto, har, jsonl, "
                                    + "w3c, "
                                    + String.join(", ", KNOWN.keySet())
                                    + ", apache:LOGFORMAT and nginx:LOG_FORMAT");
        };
    }

    /** The source that a beginning looks like, or null where it is like none. */
    public static Source recognised(byte[] beginning, ZoneId zone) {
        String text = new String(beginning, StandardCharsets.UTF_8);
        text = text.startsWith("\ufeff") ? text.substring(1) : text;
        String start = text.stripLeading();
        if (start.startsWith("{")) {
            int line = start.indexOf('\n');
            String first = (line < 0 ? start : start.substring(0, line)).strip();
            boolean har =
                    start.substring(0, Math.min(start.length(), 4096))
                            .matches("(?s)\\{\\s*\"log\"\\s*:.*");
            return har
                    ? named("har", zone)
                    : first.endsWith("}") || line >= 0 ? named("jsonl", zone) : null;
        }
        if (text.startsWith("#") && text.contains("#Fields:")) {
            return named("w3c", zone);
        }
        String best = null;
        int most = 0;
        int lines = 0;
        for (String line : text.split("\n")) {
            lines += line.isBlank() ? 0 : 1;
        }
        for (Map.Entry<String, String> known : KNOWN.entrySet()) {
            LogFormat format = LogFormat.apache(known.getValue(), zone);
            int fit = 0;
            LogEntry entry = new LogEntry();
            for (String line : text.split("\n")) {
                byte[] b =
                        line.replace("\r", "").replace("\0", "").getBytes(StandardCharsets.UTF_8);
                fit += format.read(b, b.length, entry) == null && entry.plausible() ? 1 : 0;
            }
            if (fit > most) {
                most = fit;
                best = known.getKey();
            }
        }
        // Some of the lines may be damaged, but a format that fits only now and then is the wrong
        // one.
        return best == null || most * 3 < lines ? null : named(best, zone);
    }
}

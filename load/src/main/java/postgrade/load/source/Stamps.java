package postgrade.load.source;

import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.temporal.ChronoField;
import java.time.temporal.TemporalAccessor;
import java.time.temporal.TemporalQueries;
import java.util.Locale;

/** Reads the ways in which sources write times. The result is left in the entry. */
final class Stamps {

    private static final long MICROS = 1_000_000;
    private static final int CLF_LENGTH = 26;

    /** One way to write a time. */
    interface Reader {
        /** Reads a time into the entry; false if this is none. */
        boolean read(byte[] b, int from, int to, Entry into);
    }

    private Stamps() {}

    private static void set(Entry into, long micros, long resolution) {
        into.timeMicros = micros;
        into.resolutionMicros = resolution;
        into.ambiguous = false;
    }

    /**
     * {@code 10/Oct/2026:13:55:36 +0200}: of the common log formats. Most lines repeat the second
     * before.
     */
    static Reader clf() {
        return new Reader() {
            private final byte[] last = new byte[CLF_LENGTH];
            private long lastMicros;

            @Override
            public boolean read(byte[] b, int from, int to, Entry into) {
                if (to - from != CLF_LENGTH) {
                    return false;
                }
                if (!java.util.Arrays.equals(b, from, to, last, 0, CLF_LENGTH)) {
                    long micros = clf(b, from);
                    if (micros == Long.MIN_VALUE) {
                        return false;
                    }
                    System.arraycopy(b, from, last, 0, CLF_LENGTH);
                    lastMicros = micros;
                }
                set(into, lastMicros, MICROS);
                return true;
            }
        };
    }

    private static final String MONTHS = "JanFebMarAprMayJunJulAugSepOctNovDec";

    private static long clf(byte[] b, int from) {
        if (b[from + 2] != '/'
                || b[from + 6] != '/'
                || b[from + 11] != ':'
                || b[from + 14] != ':'
                || b[from + 17] != ':'
                || b[from + 20] != ' ') {
            return Long.MIN_VALUE;
        }
        int month = MONTHS.indexOf(new String(b, from + 3, 3, StandardCharsets.ISO_8859_1));
        int day = digits(b, from, 2);
        int year = digits(b, from + 7, 4);
        int hour = digits(b, from + 12, 2);
        int minute = digits(b, from + 15, 2);
        int second = digits(b, from + 18, 2);
        int sign = b[from + 21] == '-' ? -1 : b[from + 21] == '+' ? 1 : 0;
        int zoneHour = digits(b, from + 22, 2);
        int zoneMinute = digits(b, from + 24, 2);
        if (month < 0
                || month % 3 != 0
                || sign == 0
                || (day | year | hour | minute | second | zoneHour | zoneMinute) < 0
                || zoneHour > 18
                || zoneMinute > 59) {
            return Long.MIN_VALUE;
        }
        try {
            // A leap second is the next one's start: other times leave it no place.
            long seconds =
                    LocalDateTime.of(year, month / 3 + 1, day, hour, minute, Math.min(second, 59))
                                    .toEpochSecond(ZoneOffset.UTC)
                            + (second == 60 ? 1 : 0);
            return second > 60
                    ? Long.MIN_VALUE
                    : (seconds - sign * (zoneHour * 3600L + zoneMinute * 60)) * MICROS;
        } catch (DateTimeException e) {
            return Long.MIN_VALUE;
        }
    }

    static int digits(byte[] b, int from, int count) {
        int value = 0;
        for (int i = from; i < from + count; i++) {
            int d = b[i] - '0';
            if (d < 0 || d > 9) {
                return -1;
            }
            value = value * 10 + d;
        }
        return value;
    }

    /** ISO 8601 with a zone, or without one in the zone given. */
    static Reader iso(ZoneId zone) {
        return (b, from, to, into) ->
                iso(new String(b, from, to - from, StandardCharsets.ISO_8859_1), zone, into);
    }

    static boolean iso(String text, ZoneId zone, Entry into) {
        try {
            String t = text.indexOf(' ') == 10 ? text.replaceFirst(" ", "T") : text;
            int dot = Math.max(t.indexOf('.'), t.indexOf(','));
            t = t.replace(',', '.');
            long resolution = dot < 0 ? MICROS : fraction(t, dot);
            boolean zoned =
                    t.endsWith("Z")
                            || t.length() > 19 && t.substring(19).matches(".*[+-][0-9:]{4,5}");
            if (zoned) {
                set(
                        into,
                        micros(
                                OffsetDateTime.parse(
                                                t.matches(".*[+-][0-9]{4}")
                                                        ? t.substring(0, t.length() - 2)
                                                                + ":"
                                                                + t.substring(t.length() - 2)
                                                        : t)
                                        .toInstant()),
                        resolution);
            } else {
                local(LocalDateTime.parse(t), zone, resolution, into);
            }
            return true;
        } catch (DateTimeException e) {
            return false;
        }
    }

    private static long fraction(String t, int dot) {
        int digits = 0;
        for (int i = dot + 1; i < t.length() && Character.isDigit(t.charAt(i)); i++) {
            digits++;
        }
        long resolution = MICROS;
        for (int i = 0; i < Math.min(digits, 6); i++) {
            resolution /= 10;
        }
        return resolution;
    }

    private static void local(LocalDateTime t, ZoneId zone, long resolution, Entry into) {
        java.util.List<ZoneOffset> offsets = zone.getRules().getValidOffsets(t);
        ZoneOffset first = offsets.isEmpty() ? zone.getRules().getOffset(t) : offsets.get(0);
        set(into, micros(t.toInstant(first)), resolution);
        into.ambiguous = offsets.size() > 1;
    }

    /** By how much the clocks are set back where this time stands twice, in microseconds. */
    static long foldMicros(long micros, ZoneId zone) {
        LocalDateTime t =
                LocalDateTime.ofInstant(
                        Instant.EPOCH.plus(micros, java.time.temporal.ChronoUnit.MICROS), zone);
        java.util.List<ZoneOffset> offsets = zone.getRules().getValidOffsets(t);
        return offsets.size() < 2
                ? 0
                : (offsets.get(0).getTotalSeconds() - offsets.get(1).getTotalSeconds()) * MICROS;
    }

    static long micros(Instant t) {
        return Math.addExact(Math.multiplyExact(t.getEpochSecond(), MICROS), t.getNano() / 1000);
    }

    /** A Unix time: digits with an optional fraction, in a unit of so many microseconds. */
    static Reader unix(long unitMicros) {
        return (b, from, to, into) -> {
            long value = 0;
            long resolution = unitMicros;
            boolean behind = false;
            if (from == to || to - from > 20) {
                return false;
            }
            for (int i = from; i < to; i++) {
                if (b[i] == '.' && !behind) {
                    behind = true;
                    continue;
                }
                int d = b[i] - '0';
                if (d < 0 || d > 9) {
                    return false;
                }
                if (behind && resolution == 1) {
                    continue; // Finer than we count.
                }
                value = value * 10 + d;
                resolution = behind ? resolution / 10 : resolution;
            }
            set(into, Math.multiplyExact(value, resolution), resolution);
            return true;
        };
    }

    /** A pattern of strftime, as Apache's {@code %{...}t} takes it. */
    static Reader strftime(String pattern, ZoneId zone) {
        DateTimeFormatter format = formatter(pattern);
        return (b, from, to, into) -> {
            try {
                TemporalAccessor t =
                        format.parse(new String(b, from, to - from, StandardCharsets.ISO_8859_1));
                LocalDateTime local =
                        LocalDateTime.of(
                                t.query(TemporalQueries.localDate()),
                                t.query(TemporalQueries.localTime()));
                if (t.isSupported(ChronoField.OFFSET_SECONDS)) {
                    set(
                            into,
                            micros(
                                    local.toInstant(
                                            ZoneOffset.ofTotalSeconds(
                                                    t.get(ChronoField.OFFSET_SECONDS)))),
                            MICROS);
                } else {
                    local(local, zone, MICROS, into);
                }
                return true;
            } catch (DateTimeException | NullPointerException e) {
                return false; // Not of the pattern, or the pattern leaves out the date or the time.
            }
        };
    }

    private static DateTimeFormatter formatter(String pattern) {
        DateTimeFormatterBuilder b = new DateTimeFormatterBuilder().parseCaseInsensitive();
        for (int i = 0; i < pattern.length(); i++) {
            char c = pattern.charAt(i);
            if (c != '%' || i + 1 == pattern.length()) {
                b.appendLiteral(c);
                continue;
            }
            c = pattern.charAt(++i);
            String java =
                    switch (c) {
                        case 'Y' -> "uuuu";
                        case 'm' -> "MM";
                        case 'd' -> "dd";
                        case 'e' -> "ppd";
                        case 'H' -> "HH";
                        case 'M' -> "mm";
                        case 'S' -> "ss";
                        case 'b', 'h' -> "MMM";
                        case 'B' -> "MMMM";
                        case 'y' -> "uu";
                        case 'a' -> "EEE";
                        case 'A' -> "EEEE";
                        case 'j' -> "DDD";
                        case 'F' -> "uuuu-MM-dd";
                        case 'T' -> "HH:mm:ss";
                        case 'D' -> "MM/dd/uu";
                        case 'R' -> "HH:mm";
                        case 'p' -> "a";
                        case 'I' -> "hh";
                        case 'z' -> "xx";
                        default -> null;
                    };
            if (c == '%') {
                b.appendLiteral('%');
            } else if (java == null) {
                throw new IllegalArgumentException("%" + c + " in a time is not understood");
            } else {
                b.appendPattern(java);
            }
        }
        return b.toFormatter(Locale.ENGLISH);
    }
}

package postgrade.load.source;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import postgrade.load.source.LogFormat.Fault;

/** Lines of one log format. */
final class LogSource implements Source {

    private static final int MOST_SHOWN = 200;

    /**
     * Where in a line another may begin is looked for so far; it is looked for only in lines that
     * cannot be read.
     */
    private static final int MOST_SEARCH = 2048;

    private final String name;
    private LogFormat format;
    private final boolean w3c;

    LogSource(String name, LogFormat format) {
        this.name = name;
        this.format = format;
        w3c = format == null;
    }

    @Override
    public String name() {
        return name;
    }

    static String shown(byte[] bytes, int length) {
        return new String(bytes, 0, Math.min(length, MOST_SHOWN), StandardCharsets.UTF_8);
    }

    @Override
    public void read(InputStream in, Policies policies, Sink sink) throws IOException {
        Lines lines = new Lines(in);
        LogEntry entry = new LogEntry();
        long number = 0;
        while (lines.next()) {
            number++;
            entry.line = number;
            if (lines.length == 0 && !lines.hadNuls) {
                continue;
            }
            if (w3c && lines.length > 0 && lines.bytes[0] == '#') {
                comment(
                        shown(lines.bytes, lines.length > MOST_SHOWN ? MOST_SHOWN : lines.length),
                        lines,
                        policies,
                        number,
                        sink);
                continue;
            }
            if (lines.tooLong) {
                sink.rejected(Cause.TOO_LONG, number, shown(lines.bytes, lines.length));
            } else if (format == null) {
                sink.rejected(Cause.NOT_OF_THE_FORMAT, number, shown(lines.bytes, lines.length));
            } else {
                line(lines, entry, policies, sink);
            }
        }
    }

    private void comment(String text, Lines lines, Policies policies, long number, Sink sink)
            throws IOException {
        if (text.startsWith("#Fields:")) {
            String whole = new String(lines.bytes, 0, lines.length, StandardCharsets.UTF_8);
            try {
                format = LogFormat.w3c(whole.substring("#Fields:".length()), policies.zone);
            } catch (IllegalArgumentException e) {
                format = null;
                sink.rejected(Cause.NOT_OF_THE_FORMAT, number, text);
            }
        }
    }

    private void line(Lines lines, LogEntry entry, Policies policies, Sink sink)
            throws IOException {
        if (lines.hadNuls) {
            String text = shown(lines.bytes, lines.length);
            if (lines.length == 0 || policies.of(Cause.NUL_BYTES).equals("reject")) {
                sink.rejected(Cause.NUL_BYTES, entry.line, text);
                return;
            }
        }
        Fault fault = format.read(lines.bytes, lines.length, entry);
        if (fault != null && !salvage(lines, entry, policies, sink, fault)) {
            return;
        }
        if (!entry.validUtf8()) {
            if (policies.of(Cause.BAD_UTF8).equals("reject")) {
                sink.rejected(Cause.BAD_UTF8, entry.line, shown(lines.bytes, lines.length));
                return;
            }
            sink.repaired(Cause.BAD_UTF8, entry.line, shown(lines.bytes, lines.length));
        }
        if (lines.hadNuls) {
            sink.repaired(Cause.NUL_BYTES, entry.line, shown(lines.bytes, lines.length));
        }
        sink.entry(entry);
    }

    /**
     * A line that cannot be read may end in a whole one: its writer was cut off, and another wrote
     * on.
     */
    private boolean salvage(Lines lines, LogEntry entry, Policies policies, Sink sink, Fault fault)
            throws IOException {
        String text = shown(lines.bytes, lines.length);
        for (int at = 1; at < Math.min(MOST_SEARCH, lines.length); at++) {
            if (lines.bytes[at - 1] == ' ' || lines.bytes[at] <= ' ') {
                continue; // A line does not begin behind a space that is its own, or with one.
            }
            byte[] rest = java.util.Arrays.copyOfRange(lines.bytes, at, lines.length);
            if (format.read(rest, rest.length, entry) == null && entry.plausible()) {
                if (policies.of(Cause.INTERLEAVED).equals("reject")) {
                    sink.rejected(Cause.INTERLEAVED, entry.line, text);
                    return false;
                }
                sink.repaired(Cause.INTERLEAVED, entry.line, text);
                return true;
            }
        }
        sink.rejected(
                fault == Fault.BAD_TIME
                        ? Cause.BAD_TIME
                        : fault == Fault.CUT_SHORT || lines.unended
                                ? Cause.TRUNCATED
                                : Cause.NOT_OF_THE_FORMAT,
                entry.line,
                text);
        return false;
    }
}

package postgrade.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.recovery.LearntSnapshot.Entry;
import postgrade.recovery.UnusableSnapshotException.Fault;

/**
 * The byte format of a snapshot: a header line with version, checksum and length, then lines of
 * words. It is all ASCII, so that an operator can read it. The header keeps its form in later
 * versions; the checksum covers version, length and body.
 */
public final class LearntSnapshotFormat {

    static final int VERSION = 1;

    /** Larger snapshots are neither written nor read. */
    static final int MAX_BYTES = 8 << 20;

    private static final int MAX_ENTRIES = 20_000;
    private static final int MAX_VALUES_PER_ENTRY = 1000;
    private static final String MAGIC = "postgrade-memory";
    private static final int MAX_HEADER_BYTES = 80;

    /** A clock that was set back by less than this is tolerated. */
    private static final long MAX_CLOCK_SKEW_MICROS = 5_000_000;

    private LearntSnapshotFormat() {}

    /** Entries beyond the bounds are left out; the first ones are kept. */
    public static byte[] write(LearntSnapshot snapshot) {
        StringBuilder body = new StringBuilder();
        body.append("dispatcher ").append(AsciiEscape.escape(snapshot.dispatcher())).append('\n');
        body.append("saved ")
                .append(snapshot.savedMicros())
                .append(' ')
                .append(snapshot.servedShare())
                .append('\n');
        int written = 0;
        for (Entry entry : snapshot.entries()) {
            String line = formatEntry(entry);
            if (written++ == MAX_ENTRIES
                    || body.length() + line.length() > MAX_BYTES - MAX_HEADER_BYTES) {
                break;
            }
            body.append(line);
        }
        String text = body.toString();
        return AsciiEscape.bytes(
                MAGIC
                        + " "
                        + VERSION
                        + " "
                        + checksum(VERSION, text)
                        + " "
                        + text.length()
                        + "\n"
                        + text);
    }

    private static String formatEntry(Entry entry) {
        StringBuilder line =
                new StringBuilder(AsciiEscape.escape(entry.learnt().category()))
                        .append(' ')
                        .append(AsciiEscape.escape(entry.learnt().name()))
                        .append(' ')
                        .append(entry.startedMillis());
        double[] values = entry.learnt().values();
        for (int i = 0; i < values.length && i < MAX_VALUES_PER_ENTRY; i++) {
            line.append(' ').append(Double.isFinite(values[i]) ? values[i] : 0.0);
        }
        return line.append('\n').toString();
    }

    private static String checksum(int version, String body) {
        CRC32C crc = new CRC32C();
        crc.update(AsciiEscape.bytes(version + " " + body.length() + "\n"));
        crc.update(AsciiEscape.bytes(body));
        return String.format("%08x", crc.getValue());
    }

    /**
     * Parses a snapshot and verifies that this process may use it.
     *
     * @param dispatcher the process that reads; the snapshot of another process is rejected
     * @param nowMicros Unix time
     */
    public static LearntSnapshot read(byte[] bytes, String dispatcher, long nowMicros)
            throws UnusableSnapshotException {
        LearntSnapshot snapshot = parse(body(bytes));
        if (!snapshot.dispatcher().equals(dispatcher)) {
            throw new UnusableSnapshotException(
                    Fault.OTHER_DISPATCHER,
                    "dispatcher is " + snapshot.dispatcher() + ", not " + dispatcher);
        }
        if (snapshot.savedMicros() > nowMicros + MAX_CLOCK_SKEW_MICROS) {
            throw new UnusableSnapshotException(
                    Fault.FROM_THE_FUTURE,
                    "it was saved "
                            + (snapshot.savedMicros() - nowMicros) / 1_000_000
                            + " s in the future");
        }
        return snapshot;
    }

    /** The body, after header and checksum have been verified. */
    private static String body(byte[] bytes) throws UnusableSnapshotException {
        if (bytes.length > MAX_BYTES) {
            throw new UnusableSnapshotException(
                    Fault.TOO_LARGE, "it has more than " + MAX_BYTES + " bytes");
        }
        String text = AsciiEscape.text(bytes);
        int headerEnd = text.indexOf('\n');
        if (!text.startsWith(MAGIC) && !MAGIC.startsWith(text)) {
            throw new UnusableSnapshotException(
                    Fault.NOT_A_SNAPSHOT, "it does not begin with " + MAGIC);
        }
        if (headerEnd < 0) {
            throw new UnusableSnapshotException(Fault.TORN, "its header line is incomplete");
        }
        String[] header = text.substring(0, headerEnd).split(" ", -1);
        String body = text.substring(headerEnd + 1);
        int version;
        int length;
        try {
            version = Integer.parseInt(header[1]);
            length = Integer.parseInt(header[3]);
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            throw new UnusableSnapshotException(Fault.FLIPPED, "its header line is damaged");
        }
        if (body.length() != length) {
            throw new UnusableSnapshotException(
                    Fault.TORN, "it has " + body.length() + " of " + length + " bytes");
        }
        if (!text.substring(0, headerEnd)
                .equals(MAGIC + " " + version + " " + checksum(version, body) + " " + length)) {
            throw new UnusableSnapshotException(Fault.FLIPPED, "its checksum does not match");
        }
        if (version > VERSION) {
            throw new UnusableSnapshotException(
                    Fault.LATER_FORMAT,
                    "its format version " + version + " is newer than " + VERSION);
        }
        return body;
    }

    private static LearntSnapshot parse(String body) throws UnusableSnapshotException {
        String[] lines = body.split("\n", -1);
        try {
            String[] savedLine = lines[1].split(" ", -1);
            List<Entry> entries = new ArrayList<>();
            for (int i = 2; i < lines.length - 1; i++) {
                entries.add(parseEntry(lines[i].split(" ", -1)));
            }
            if (entries.size() > MAX_ENTRIES) {
                throw new UnusableSnapshotException(
                        Fault.TOO_LARGE, "it has more than " + MAX_ENTRIES + " entries");
            }
            return new LearntSnapshot(
                    AsciiEscape.unescape(lines[0].split(" ", -1)[1]),
                    Long.parseLong(savedLine[1]),
                    Double.parseDouble(savedLine[2]),
                    entries);
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new UnusableSnapshotException(
                    Fault.MALFORMED, "its checksum matches, but its body cannot be parsed");
        }
    }

    private static Entry parseEntry(String[] words) {
        double[] values = new double[words.length - 3];
        for (int i = 0; i < values.length; i++) {
            values[i] = Double.parseDouble(words[i + 3]);
            if (!Double.isFinite(values[i])) {
                throw new NumberFormatException();
            }
        }
        return new Entry(
                new PolicyStateEntry(
                        AsciiEscape.unescape(words[0]), AsciiEscape.unescape(words[1]), values),
                Long.parseLong(words[2]));
    }
}

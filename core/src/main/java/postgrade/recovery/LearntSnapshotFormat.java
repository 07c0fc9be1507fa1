package postgrade.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.recovery.LearntSnapshot.Entry;
import postgrade.recovery.UnusableSnapshotException.Fault;

/**
 * A snapshot as bytes: a head line with version, checksum and length, then lines of words. All of
 * it is ASCII, so that an operator can read it. The head stays as it is in later versions; the
 * checksum covers version, length and body.
 */
public final class LearntSnapshotFormat {

    static final int VERSION = 1;

    /** Larger ones are neither written nor read. */
    static final int MOST_BYTES = 8 << 20;

    private static final int MOST_FIGURES = 20_000;
    private static final int MOST_NUMBERS = 1000;
    private static final String MAGIC = "postgrade-memory";
    private static final int LONGEST_HEAD = 80;

    /** Clocks that were set back by less are nothing to worry about. */
    private static final long AHEAD_MICROS = 5_000_000;

    private LearntSnapshotFormat() {}

    /** Figures beyond the bounds are left out, those told first stay. */
    public static byte[] write(LearntSnapshot m) {
        StringBuilder body = new StringBuilder();
        body.append("dispatcher ").append(Words.escape(m.dispatcher())).append('\n');
        body.append("saved ")
                .append(m.savedMicros())
                .append(' ')
                .append(m.servedShare())
                .append('\n');
        int written = 0;
        for (Entry f : m.entries()) {
            String line = line(f);
            if (written++ == MOST_FIGURES
                    || body.length() + line.length() > MOST_BYTES - LONGEST_HEAD) {
                break;
            }
            body.append(line);
        }
        String text = body.toString();
        return Words.bytes(
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

    private static String line(Entry f) {
        StringBuilder line =
                new StringBuilder(Words.escape(f.learnt().category()))
                        .append(' ')
                        .append(Words.escape(f.learnt().name()))
                        .append(' ')
                        .append(f.startedMillis());
        double[] figures = f.learnt().values();
        for (int i = 0; i < figures.length && i < MOST_NUMBERS; i++) {
            line.append(' ').append(Double.isFinite(figures[i]) ? figures[i] : 0.0);
        }
        return line.append('\n').toString();
    }

    private static String checksum(int version, String body) {
        CRC32C sum = new CRC32C();
        sum.update(Words.bytes(version + " " + body.length() + "\n"));
        sum.update(Words.bytes(body));
        return String.format("%08x", sum.getValue());
    }

    /**
     * @param dispatcher who reads; another's snapshot is of no use to it
     * @param nowMicros Unix time
     */
    public static LearntSnapshot read(byte[] bytes, String dispatcher, long nowMicros)
            throws UnusableSnapshotException {
        LearntSnapshot m = parse(body(bytes));
        if (!m.dispatcher().equals(dispatcher)) {
            throw new UnusableSnapshotException(
                    Fault.OTHER_DISPATCHER,
                    "dispatcher is " + m.dispatcher() + ", not " + dispatcher);
        }
        if (m.savedMicros() > nowMicros + AHEAD_MICROS) {
            throw new UnusableSnapshotException(
                    Fault.FROM_THE_FUTURE,
                    "saved lies " + (m.savedMicros() - nowMicros) / 1_000_000 + " s in the future");
        }
        return m;
    }

    /** The body, once head and checksum are right. */
    private static String body(byte[] bytes) throws UnusableSnapshotException {
        if (bytes.length > MOST_BYTES) {
            throw new UnusableSnapshotException(
                    Fault.TOO_LARGE, "it has more than " + MOST_BYTES + " bytes");
        }
        String all = Words.text(bytes);
        int end = all.indexOf('\n');
        if (!all.startsWith(MAGIC) && !MAGIC.startsWith(all)) {
            throw new UnusableSnapshotException(
                    Fault.NOT_A_SNAPSHOT, "it does not begin with " + MAGIC);
        }
        if (end < 0) {
            throw new UnusableSnapshotException(Fault.TORN, "its first line does not end");
        }
        String[] head = all.substring(0, end).split(" ", -1);
        String body = all.substring(end + 1);
        int version;
        int length;
        try {
            version = Integer.parseInt(head[1]);
            length = Integer.parseInt(head[3]);
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            throw new UnusableSnapshotException(Fault.FLIPPED, "its first line is damaged");
        }
        if (body.length() != length) {
            throw new UnusableSnapshotException(
                    Fault.TORN, "it has " + body.length() + " of " + length + " bytes");
        }
        if (!all.substring(0, end)
                .equals(MAGIC + " " + version + " " + checksum(version, body) + " " + length)) {
            throw new UnusableSnapshotException(Fault.FLIPPED, "its checksum does not match");
        }
        if (version > VERSION) {
            throw new UnusableSnapshotException(
                    Fault.LATER_FORMAT, "its format " + version + " is later than " + VERSION);
        }
        return body;
    }

    private static LearntSnapshot parse(String body) throws UnusableSnapshotException {
        String[] lines = body.split("\n", -1);
        try {
            String[] saved = lines[1].split(" ", -1);
            List<Entry> figures = new ArrayList<>();
            for (int i = 2; i < lines.length - 1; i++) {
                figures.add(figure(lines[i].split(" ", -1)));
            }
            if (figures.size() > MOST_FIGURES) {
                throw new UnusableSnapshotException(
                        Fault.TOO_LARGE, "it has more than " + MOST_FIGURES + " figures");
            }
            return new LearntSnapshot(
                    Words.plain(lines[0].split(" ", -1)[1]),
                    Long.parseLong(saved[1]),
                    Double.parseDouble(saved[2]),
                    figures);
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new UnusableSnapshotException(
                    Fault.MALFORMED,
                    "its checksum matches, but its lines are not those of a snapshot");
        }
    }

    private static Entry figure(String[] words) {
        double[] figures = new double[words.length - 3];
        for (int i = 0; i < figures.length; i++) {
            figures[i] = Double.parseDouble(words[i + 3]);
            if (!Double.isFinite(figures[i])) {
                throw new NumberFormatException();
            }
        }
        return new Entry(
                new PolicyStateEntry(Words.plain(words[0]), Words.plain(words[1]), figures),
                Long.parseLong(words[2]));
    }
}

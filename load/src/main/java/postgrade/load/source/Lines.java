package postgrade.load.source;

import java.io.IOException;
import java.io.InputStream;

/**
 * Cuts bytes into lines in bounded memory. The line lies in {@link #bytes} until the next is read.
 */
final class Lines {

    static final int MOST_LINE = 64 << 10;

    private final InputStream in;
    private final byte[] buffer = new byte[1 << 16];
    private int next;
    private int end;
    private boolean first = true;

    byte[] bytes = new byte[1024];
    int length;

    /** The line had more bytes than are kept. */
    boolean tooLong;

    /** The line had NUL bytes, which have been left out. */
    boolean hadNuls;

    /** The line ended with the source, not with a line end. */
    boolean unended;

    Lines(InputStream in) {
        this.in = in;
    }

    /** Reads the next line; false at the end. A byte order mark before the first is left out. */
    boolean next() throws IOException {
        boolean any = read();
        if (first
                && length >= 3
                && bytes[0] == (byte) 0xef
                && bytes[1] == (byte) 0xbb
                && bytes[2] == (byte) 0xbf) {
            length -= 3;
            System.arraycopy(bytes, 3, bytes, 0, length);
        }
        first = false;
        return any;
    }

    private boolean read() throws IOException {
        length = 0;
        tooLong = false;
        hadNuls = false;
        unended = false;
        boolean any = false;
        while (true) {
            if (next == end) {
                end = in.read(buffer);
                next = 0;
                if (end <= 0) {
                    end = 0;
                    unended = true;
                    return any;
                }
            }
            any = true;
            int at = next;
            while (at < end && buffer[at] != '\n' && buffer[at] != 0) {
                at++;
            }
            append(at - next);
            next = at;
            if (at < end) {
                next++;
                if (buffer[at] == 0) {
                    hadNuls = true;
                    continue;
                }
                if (length > 0 && bytes[length - 1] == '\r') {
                    length--;
                }
                return true;
            }
        }
    }

    private void append(int count) {
        int fits = Math.min(count, MOST_LINE - length);
        tooLong |= fits < count;
        if (length + fits > bytes.length) {
            bytes = java.util.Arrays.copyOf(bytes, Math.max(length + fits, 2 * bytes.length));
        }
        System.arraycopy(buffer, next, bytes, length, fits);
        length += fits;
    }
}

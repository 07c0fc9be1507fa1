package postgrade.load.imports;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A run of records in a file of our own that lives only as long as an import. */
final class Spool {

    private static final int BUFFER = 1 << 16;
    private static final int MOST_NUMBER = 10;

    /** Texts that come again are written once; guards the memory against keys that never do. */
    private static final int MOST_TEXTS = 4096;

    private Spool() {}

    static final class Writer implements Closeable {
        final Path file;
        private final OutputStream out;
        private final byte[] buffer = new byte[BUFFER];
        private int used;
        private final Map<String, Integer> texts = new HashMap<>();
        private long last;

        Writer(Path file) throws IOException {
            this.file = file;
            out = Files.newOutputStream(file);
        }

        void add(Record r) throws IOException {
            number(r.at - last);
            last = r.at;
            number(r.resolution);
            number(r.order);
            text(r.jobClass);
            text(r.tenant);
            text(r.key);
            text(r.retryKey);
            number(r.deadlineMicros);
            number(r.bodyBytes);
            number(r.status << 1 | (r.markedRetry ? 1 : 0));
            number(r.durationMicros + 1);
            number(r.source);
            number(r.line);
        }

        /** As many bytes as it needs, seven bits each. */
        private void number(long value) throws IOException {
            if (used + MOST_NUMBER > BUFFER) {
                flush();
            }
            long v = value;
            while ((v & ~0x7f) != 0) {
                buffer[used++] = (byte) (v & 0x7f | 0x80);
                v >>>= 7;
            }
            buffer[used++] = (byte) v;
        }

        private void flush() throws IOException {
            out.write(buffer, 0, used);
            used = 0;
        }

        /** 0 for none, 1 for one written out, else the place of one written before. */
        private void text(String s) throws IOException {
            Integer at = s == null ? Integer.valueOf(-2) : texts.get(s);
            if (at != null) {
                number(at + 2);
                return;
            }
            number(1);
            byte[] bytes = s.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            number(bytes.length);
            if (used + bytes.length > BUFFER) {
                flush();
            }
            if (bytes.length > BUFFER) {
                out.write(bytes);
            } else {
                System.arraycopy(bytes, 0, buffer, used, bytes.length);
                used += bytes.length;
            }
            if (texts.size() < MOST_TEXTS) {
                texts.put(s, texts.size());
            }
        }

        @Override
        public void close() throws IOException {
            flush();
            out.close();
        }
    }

    static final class Reader implements Closeable {
        private final InputStream in;
        private final byte[] buffer = new byte[BUFFER];
        private int next;
        private int end;
        private final List<String> texts = new ArrayList<>();
        private long last;

        Reader(Path file) throws IOException {
            in = Files.newInputStream(file);
        }

        /** The next record, or null at the end. */
        Record next() throws IOException {
            int first = read();
            if (first < 0) {
                return null;
            }
            Record r = new Record();
            last += number(first);
            r.at = last;
            r.resolution = number(read());
            r.order = number(read());
            r.jobClass = text();
            r.tenant = text();
            r.key = text();
            r.retryKey = text();
            r.deadlineMicros = number(read());
            r.bodyBytes = (int) number(read());
            int status = (int) number(read());
            r.status = status >> 1;
            r.markedRetry = (status & 1) != 0;
            r.durationMicros = number(read()) - 1;
            r.source = (int) number(read());
            r.line = number(read());
            return r;
        }

        private int read() throws IOException {
            if (next == end) {
                end = in.read(buffer);
                next = 0;
                if (end <= 0) {
                    end = 0;
                    return -1;
                }
            }
            return buffer[next++] & 0xff;
        }

        private long number(int first) throws IOException {
            long value = 0;
            int b = first;
            for (int shift = 0; ; shift += 7) {
                if (b < 0) {
                    throw new EOFException();
                }
                value |= (long) (b & 0x7f) << shift;
                if (b < 0x80) {
                    return value;
                }
                b = read();
            }
        }

        private String text() throws IOException {
            int at = (int) number(read());
            if (at != 1) {
                return at == 0 ? null : texts.get(at - 2);
            }
            byte[] bytes = new byte[(int) number(read())];
            for (int i = 0; i < bytes.length; ) {
                int had = Math.min(bytes.length - i, end - next);
                System.arraycopy(buffer, next, bytes, i, had);
                next += had;
                i += had;
                if (i < bytes.length) {
                    bytes[i++] = (byte) read();
                }
            }
            String s = new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
            if (texts.size() < MOST_TEXTS) {
                texts.add(s);
            }
            return s;
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }
}

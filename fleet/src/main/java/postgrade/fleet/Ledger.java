package postgrade.fleet;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * What a stand-in saw, written down line by line: {@code time, event, id, party, detail}, separated
 * by tabs. A line is in the file, safe from this process's death, once {@link #flush} has returned.
 * Thread-safe.
 */
public final class Ledger implements Closeable {

    /** More than this waits for no flush; whoever adds the line writes. */
    private static final int MOST_HELD = 1 << 20;

    private final FileChannel file;

    /** Guards the order of writes; never taken while the monitor of this is held. */
    private final Object writing = new Object();

    private ByteArrayOutputStream held = new ByteArrayOutputStream(1 << 16);
    private ByteArrayOutputStream spare = new ByteArrayOutputStream(1 << 16);

    /** Opens a ledger to be added to; a line cut off by a death before is ended first. */
    public Ledger(Path path) throws IOException {
        file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        long size = file.size();
        if (size > 0) {
            ByteBuffer last = ByteBuffer.allocate(1);
            file.read(last, size - 1);
            file.position(size);
            if (last.get(0) != '\n') {
                held.write('\n');
            }
        }
    }

    /** Adds a line. Nothing in it may hold a tab or a line end; those are written as spaces. */
    public void add(long micros, String event, String id, String party, String detail) {
        String line =
                micros
                        + "\t"
                        + event
                        + "\t"
                        + plain(id)
                        + "\t"
                        + plain(party)
                        + "\t"
                        + plain(detail)
                        + "\n";
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        int size;
        synchronized (this) {
            held.write(bytes, 0, bytes.length);
            size = held.size();
        }
        if (size > MOST_HELD) {
            flush();
        }
    }

    private static String plain(String text) {
        if (text == null) {
            return "";
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < ' ') {
                return text.replaceAll("[\\x00-\\x1f]", " ");
            }
        }
        return text;
    }

    /**
     * Hands all lines to the system. Lines may be added meanwhile: a slow disk holds nobody up but
     * the caller.
     */
    public void flush() {
        synchronized (writing) {
            ByteArrayOutputStream out;
            synchronized (this) {
                out = held;
                held = spare;
                spare = out;
            }
            try {
                ByteBuffer bytes = ByteBuffer.wrap(out.toByteArray());
                while (bytes.hasRemaining()) {
                    file.write(bytes);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e); // Without its ledger a stand-in proves nothing.
            }
            out.reset();
        }
    }

    @Override
    public void close() throws IOException {
        flush();
        file.close();
    }
}

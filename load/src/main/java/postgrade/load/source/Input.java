package postgrade.load.source;

import com.github.luben.zstd.ZstdInputStream;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.GZIPInputStream;

/**
 * A file or standard input, plain, gzip or zstd, told apart by content. Counts and digests the
 * bytes as stored.
 */
public final class Input implements Closeable {

    /** So much of the content is looked at to tell formats apart. */
    static final int BEGINNING = 64 << 10;

    private final String name;
    private final Digesting raw;
    private final BufferedInputStream content;

    private Input(String name, InputStream stored) throws IOException {
        this.name = name;
        raw = new Digesting(stored);
        BufferedInputStream in = new BufferedInputStream(raw, 1 << 16);
        in.mark(4);
        byte[] magic = in.readNBytes(4);
        in.reset();
        if (magic.length >= 2 && magic[0] == 0x1f && magic[1] == (byte) 0x8b) {
            content = new BufferedInputStream(new GZIPInputStream(in, 1 << 16), 1 << 16);
        } else if (magic.length == 4
                && magic[0] == 0x28
                && magic[1] == (byte) 0xb5
                && magic[2] == 0x2f
                && magic[3] == (byte) 0xfd) {
            content =
                    new BufferedInputStream(new ZstdInputStream(in).setContinuous(false), 1 << 16);
        } else {
            content = in;
        }
    }

    /** Opens a file, or standard input for {@code -}. */
    public static Input open(String name) throws IOException {
        return new Input(name, name.equals("-") ? System.in : Files.newInputStream(Path.of(name)));
    }

    public String name() {
        return name;
    }

    /** The content, unpacked. */
    public InputStream content() {
        return content;
    }

    /**
     * The beginning of the content, which stays unread. A stream that breaks in it gives what came
     * before.
     */
    public byte[] beginning() throws IOException {
        content.mark(BEGINNING);
        byte[] some = new byte[BEGINNING];
        int n = 0;
        try {
            for (int got; n < some.length && (got = content.read(some, n, some.length - n)) > 0; ) {
                n += got;
            }
        } catch (java.io.EOFException | java.util.zip.ZipException e) {
            // Cut off or damaged: whoever reads on meets it again and tells of it.
        }
        content.reset();
        return java.util.Arrays.copyOf(some, n);
    }

    /** Bytes as stored, once all has been read. */
    public long bytes() {
        return raw.count;
    }

    public String sha256() {
        return HexFormat.of().formatHex(raw.digest.digest());
    }

    @Override
    public void close() throws IOException {
        content.close();
    }

    private static final class Digesting extends FilterInputStream {
        private final MessageDigest digest;
        private long count;

        Digesting(InputStream in) {
            super(in);
            try {
                digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e); // Every Java has it.
            }
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] b, int off, int len) throws IOException {
            int n = super.read(b, off, len);
            if (n > 0) {
                digest.update(b, off, n);
                count += n;
            }
            return n;
        }
    }
}

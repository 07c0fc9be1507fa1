package postgrade.trace;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** How messages lie in the file: a kind, a length, a checksum, the bytes. */
final class Frames {

    static final int VERSION = 1;
    static final byte[] MAGIC = "PGTRACE\n".getBytes(StandardCharsets.US_ASCII);
    static final byte[] END_MAGIC = "PGTREND\n".getBytes(StandardCharsets.US_ASCII);
    static final byte HEADER = 'H';
    static final byte BLOCK = 'B';
    static final byte INDEX = 'I';
    static final int FRAME_BYTES = 9;
    static final int FOOTER_BYTES = 16;
    static final int BLOCK_JOBS = 4096;

    /** Guards the reader's memory against a length that is damaged. */
    static final int MOST_FRAME = 64 << 20;

    private Frames() {}

    static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length);
        return (int) crc.getValue();
    }
}

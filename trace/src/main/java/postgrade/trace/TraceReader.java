package postgrade.trace;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.channels.Channels;
import java.nio.file.Path;
import java.util.Arrays;
import postgrade.trace.wire.Block;
import postgrade.trace.wire.Header;
import postgrade.trace.wire.Index;
import postgrade.trace.wire.Job;

/** Reads a trace, one block in memory at a time. */
public final class TraceReader implements Closeable {

    private final Path file;
    private final RandomAccessFile raw;
    private DataInputStream in;
    private final Header header;
    private final Index index;
    private Block block = Block.getDefaultInstance();
    private int nextInBlock;
    private long at;
    private long number;
    private long blocks;

    /** Opens a whole trace. */
    public TraceReader(Path file) throws IOException {
        this.file = file;
        raw = new RandomAccessFile(file.toFile(), "r");
        try {
            index = readIndex();
            from(0);
            byte[] magic = new byte[Frames.MAGIC.length];
            in.readFully(magic);
            if (!Arrays.equals(magic, Frames.MAGIC)) {
                throw new TraceException(file, "not a trace");
            }
            header = Header.parseFrom(frame(Frames.HEADER));
            if (header.getVersion() != Frames.VERSION) {
                throw new TraceException(
                        file,
                        "version "
                                + header.getVersion()
                                + " of the format; this program reads "
                                + Frames.VERSION);
            }
        } catch (EOFException e) {
            raw.close();
            throw new TraceException(file, "not a trace, or cut off");
        } catch (InvalidProtocolBufferException e) {
            raw.close();
            throw new TraceException(file, "damaged: " + e.getMessage());
        } catch (IOException e) {
            raw.close();
            throw e;
        }
    }

    /** Whether the file begins as a trace does. */
    public static boolean isTrace(byte[] beginning) {
        return beginning.length >= Frames.MAGIC.length
                && Arrays.equals(
                        beginning, 0, Frames.MAGIC.length, Frames.MAGIC, 0, Frames.MAGIC.length);
    }

    private Index readIndex() throws IOException {
        long length = raw.length();
        if (length < Frames.MAGIC.length + Frames.FOOTER_BYTES) {
            throw new TraceException(file, "not a trace, or cut off");
        }
        raw.seek(length - Frames.FOOTER_BYTES);
        long offset = raw.readLong();
        byte[] magic = new byte[Frames.END_MAGIC.length];
        raw.readFully(magic);
        if (!Arrays.equals(magic, Frames.END_MAGIC)
                || offset < Frames.MAGIC.length
                || offset >= length) {
            byte[] begin = new byte[Frames.MAGIC.length];
            raw.seek(0);
            raw.readFully(begin);
            throw new TraceException(
                    file, isTrace(begin) ? "cut off: its end is missing" : "not a trace");
        }
        from(offset);
        return Index.parseFrom(frame(Frames.INDEX));
    }

    private void from(long offset) throws IOException {
        raw.seek(offset);
        in =
                new DataInputStream(
                        new BufferedInputStream(
                                Channels.newInputStream(raw.getChannel()), 1 << 16));
    }

    private byte[] frame(byte kind) throws IOException {
        byte found = in.readByte();
        int length = in.readInt();
        int checksum = in.readInt();
        if (found != kind || length < 0 || length > Frames.MOST_FRAME) {
            throw new TraceException(file, "damaged at block " + blocks);
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new TraceException(file, "cut off in block " + blocks);
        }
        if (Frames.checksum(bytes) != checksum) {
            throw new TraceException(
                    file, "damaged at block " + blocks + ": the checksum does not fit");
        }
        return bytes;
    }

    public Header header() {
        return header;
    }

    public long jobs() {
        return index.getJobs();
    }

    /** When the last job is asked for, since the start; 0 in an empty trace. */
    public long lastMicros() {
        int n = index.getEntriesCount();
        return n == 0 ? 0 : index.getEntries(n - 1).getLastMicros();
    }

    /** The next job is the first at or after this time. */
    public void seek(long micros) throws IOException {
        int low = 0;
        int high = index.getEntriesCount();
        while (low < high) {
            int mid = (low + high) / 2;
            if (index.getEntries(mid).getLastMicros() < micros) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        blocks = low;
        block = Block.getDefaultInstance();
        nextInBlock = 0;
        if (low == index.getEntriesCount()) {
            return;
        }
        from(index.getEntries(low).getOffset());
        number = index.getEntries(low).getFirstJob() - 1;
        readBlock();
        long first = index.getEntries(low).getFirstMicros();
        long time = first;
        for (int i = 0; i < block.getJobsCount(); i++) {
            time = i == 0 ? first : time + block.getJobs(i).getAfterMicros();
            if (time >= micros) {
                nextInBlock = i;
                at = i == 0 ? 0 : time - block.getJobs(i).getAfterMicros();
                number += i;
                return;
            }
        }
    }

    private void readBlock() throws IOException {
        try {
            block = Block.parseFrom(frame(Frames.BLOCK));
        } catch (EOFException e) {
            throw new TraceException(file, "cut off after block " + blocks);
        } catch (InvalidProtocolBufferException e) {
            throw new TraceException(file, "damaged at block " + blocks + ": " + e.getMessage());
        }
        nextInBlock = 0;
        at = 0;
        blocks++;
    }

    /** The next job, or null at the end. */
    public TraceJob next() throws IOException {
        if (nextInBlock == block.getJobsCount()) {
            if (blocks == index.getEntriesCount()) {
                return null;
            }
            readBlock();
        }
        Job j = block.getJobs(nextInBlock++);
        at += j.getAfterMicros();
        number++;
        return new TraceJob(
                number,
                at,
                text(j.getJobClass()),
                text(j.getTenant()),
                text(j.getKey()),
                j.getDeadlineMicros(),
                j.getBodyBytes(),
                j.getStatus(),
                j.getDurationMicrosAnd1() - 1,
                j.getFirstTry(),
                j.getAttempt(),
                j.getSource(),
                j.getLine());
    }

    private String text(int place) throws TraceException {
        if (place > block.getTextsCount()) {
            throw new TraceException(file, "damaged at block " + blocks + ": no text " + place);
        }
        return place == 0 ? null : block.getTexts(place - 1);
    }

    @Override
    public void close() throws IOException {
        raw.close();
    }
}

package postgrade.trace;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import postgrade.trace.wire.Block;
import postgrade.trace.wire.Header;
import postgrade.trace.wire.Index;
import postgrade.trace.wire.Job;

/**
 * Writes a trace, job by job in the order of time, in constant memory. The file has its name only
 * once it is whole: until {@link #close} it is written beside it, and {@link #abandon} leaves
 * nothing.
 */
public final class TraceWriter implements Closeable {

    private final Path file;
    private final Path part;
    private final DataOutputStream out;
    private final Index.Builder index = Index.newBuilder();
    private final Map<String, Integer> texts = new HashMap<>();
    private Block.Builder block = Block.newBuilder();
    private long offset;
    private long jobs;
    private long blockFirst;
    private long last;
    private boolean closed;

    public TraceWriter(Path file, Header header) throws IOException {
        this.file = file;
        part = file.resolveSibling(file.getFileName() + ".part");
        OutputStream raw = Files.newOutputStream(part);
        out = new DataOutputStream(new BufferedOutputStream(raw, 1 << 16));
        out.write(Frames.MAGIC);
        offset = Frames.MAGIC.length;
        frame(Frames.HEADER, header.toBuilder().setVersion(Frames.VERSION).build().toByteArray());
    }

    private void frame(byte kind, byte[] bytes) throws IOException {
        out.writeByte(kind);
        out.writeInt(bytes.length);
        out.writeInt(Frames.checksum(bytes));
        out.write(bytes);
        offset += Frames.FRAME_BYTES + bytes.length;
    }

    /**
     * Adds a job. Its number is given by its place and returned; that of the argument does not
     * count.
     *
     * @throws IllegalArgumentException if it comes before the job before it, or retries none
     */
    public long add(TraceJob j) throws IOException {
        if (j.atMicros() < last) {
            throw new IllegalArgumentException(
                    "job at " + j.atMicros() + " us follows one at " + last + " us");
        }
        if (j.firstTry() > jobs) {
            throw new IllegalArgumentException(
                    "a retry of job " + j.firstTry() + ", of which there are " + jobs);
        }
        boolean first = block.getJobsCount() == 0;
        if (first) {
            blockFirst = j.atMicros();
        }
        Job.Builder b =
                Job.newBuilder()
                        .setAfterMicros(first ? j.atMicros() : j.atMicros() - last)
                        .setJobClass(text(j.jobClass()))
                        .setTenant(text(j.tenant()))
                        .setKey(text(j.key()))
                        .setDeadlineMicros(j.deadlineMicros())
                        .setBodyBytes(j.bodyBytes())
                        .setStatus(j.status())
                        .setDurationMicrosAnd1(j.durationMicros() + 1)
                        .setFirstTry(j.firstTry())
                        .setAttempt(j.attempt())
                        .setSource(j.source())
                        .setLine(j.line());
        block.addJobs(b);
        last = j.atMicros();
        jobs++;
        if (block.getJobsCount() == Frames.BLOCK_JOBS) {
            endBlock();
        }
        return jobs;
    }

    private int text(String text) {
        if (text == null) {
            return 0;
        }
        Integer at = texts.get(text);
        if (at == null) {
            block.addTexts(text);
            at = block.getTextsCount();
            texts.put(text, at);
        }
        return at;
    }

    private void endBlock() throws IOException {
        index.addEntries(
                Index.Entry.newBuilder()
                        .setOffset(offset)
                        .setFirstMicros(blockFirst)
                        .setLastMicros(last)
                        .setJobs(block.getJobsCount())
                        .setFirstJob(jobs - block.getJobsCount() + 1));
        frame(Frames.BLOCK, block.build().toByteArray());
        block = Block.newBuilder();
        texts.clear();
    }

    public long jobs() {
        return jobs;
    }

    /** Ends the trace and gives the file its name. */
    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        if (block.getJobsCount() > 0) {
            endBlock();
        }
        long at = offset;
        frame(Frames.INDEX, index.setJobs(jobs).build().toByteArray());
        out.writeLong(at);
        out.write(Frames.END_MAGIC);
        out.close();
        Files.move(part, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Gives up: nothing is left of the file. Does nothing after {@link #close}. */
    public void abandon() throws IOException {
        if (!closed) {
            closed = true;
            out.close();
            Files.deleteIfExists(part);
        }
    }
}

package postgrade.load.imports;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.ZipException;
import postgrade.load.plan.Plan;
import postgrade.load.plan.PlannedJob;
import postgrade.load.source.Cause;
import postgrade.load.source.Entry;
import postgrade.load.source.Formats;
import postgrade.load.source.Input;
import postgrade.load.source.Policies;
import postgrade.load.source.Sink;
import postgrade.load.source.Source;
import postgrade.script.ScriptError;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceWriter;
import postgrade.trace.wire.Header;

/**
 * Turns recorded requests into a trace: reads, classifies, mends times, sorts, spreads, recognises
 * retries, writes.
 */
public final class Importer {

    /** What one import is to do. */
    public static final class Job {
        public List<String> inputs = List.of();

        /** As {@link Formats#named} takes it, or {@code auto}. */
        public String format = "auto";

        /** Null for the shipped one of each source's format. */
        public Plan plan;

        public Path out;

        /** Where rejected and mended entries are written. */
        public Path rejects;

        /** The first entry that would be rejected ends the import. */
        public boolean strict;

        /** Records held in memory while sorting. */
        public int room = 1 << 17;

        public String madeBy = "postgrade load import";
    }

    /** In a strict import, an entry that is not as it should be. */
    public static final class StrictException extends IOException {
        private static final long serialVersionUID = 1L;

        StrictException(String message) {
            super(message);
        }
    }

    /** A source that cannot be told or read at all. */
    public static final class SourceException extends IOException {
        private static final long serialVersionUID = 1L;

        SourceException(String message) {
            super(message);
        }
    }

    private final Job job;
    private final ImportReport report = new ImportReport();
    private final Sorter sorter;
    private final JsonGenerator rejects;
    private final Map<String, String> interned = new HashMap<>();
    private final List<postgrade.trace.wire.Source> sources = new ArrayList<>();
    private final Map<String, Plan> shipped = new HashMap<>();
    private Plan used;
    private long order;
    private boolean marks;

    private Importer(Job job) throws IOException {
        this.job = job;
        sorter = new Sorter(job.room);
        rejects =
                job.rejects == null
                        ? null
                        : new JsonFactory().createGenerator(Files.newBufferedWriter(job.rejects));
        if (rejects != null) {
            rejects.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
        }
    }

    /**
     * Runs an import. A trace that comes of it is whole; if this throws there is none.
     *
     * @throws StrictException in a strict import
     * @throws SourceException for a source whose format is not recognised
     */
    public static ImportReport run(Job job) throws IOException {
        Importer importer = new Importer(job);
        try {
            for (String input : job.inputs) {
                importer.read(input);
            }
            importer.write();
        } finally {
            importer.sorter.close();
            if (importer.rejects != null) {
                importer.rejects.writeRaw(
                        importer.rejects.getOutputContext().getCurrentIndex() < 0 ? "" : "\n");
                importer.rejects.close();
            }
        }
        return importer.report;
    }

    // ---- Reading.

    private void read(String name) throws IOException {
        try (Input in = Input.open(name)) {
            Source source = source(in);
            Plan plan =
                    job.plan != null
                            ? job.plan
                            : shipped.computeIfAbsent(source.name(), Plan::shippedFor);
            used = plan;
            report.formats.put(name, source.name());
            Reading reading = new Reading(name, plan, sources.size() + 1);
            long before = report.entries;
            try {
                source.read(in.content(), plan.policies(), reading);
                in.content().transferTo(java.io.OutputStream.nullOutputStream());
            } catch (EOFException | ZipException e) {
                // The packed stream is cut off or damaged: what came before it has been taken.
                reading.rejected(
                        Cause.TRUNCATED, reading.lastLine + 1, "packed stream: " + e.getMessage());
            }
            sources.add(
                    postgrade.trace.wire.Source.newBuilder()
                            .setName(fileName(name))
                            .setFormat(source.name())
                            .setBytes(in.bytes())
                            .setSha256(in.sha256())
                            .setEntries(report.entries - before)
                            .build());
        } catch (ZipException e) {
            throw new SourceException(name + ": damaged: " + e.getMessage());
        }
    }

    private static String fileName(String name) {
        return name.equals("-") ? name : Path.of(name).getFileName().toString();
    }

    private Source source(Input in) throws IOException {
        Policies policies = job.plan == null ? new Policies() : job.plan.policies();
        if (!job.format.equals("auto")) {
            return Formats.named(job.format, policies.zone);
        }
        byte[] beginning = in.beginning();
        Source source = Formats.recognised(beginning, policies.zone);
        if (source == null) {
            throw new SourceException(
                    in.name()
                            + ": "
                            + (beginning.length == 0
                                    ? "empty"
                                    : "its format is not recognised; name it with --format"));
        }
        return source;
    }

    /** Takes what one source gives. */
    private final class Reading implements Sink {
        private final String name;
        private final Plan plan;
        private final Policies policies;
        private final int number;
        private long lastMicros = Long.MIN_VALUE;
        private long offsetMicros;
        private long lastLine;

        Reading(String name, Plan plan, int number) {
            this.name = name;
            this.plan = plan;
            this.policies = plan.policies();
            this.number = number;
        }

        @Override
        public void entry(Entry e) throws IOException {
            report.entries++;
            lastLine = e.line;
            e.file = name;
            Object made;
            try {
                made = plan.classify(e);
            } catch (ScriptError error) {
                reject(Cause.PLAN_FAILED, e.line, error.getMessage());
                return;
            }
            if (made instanceof PlannedJob.Dropped d) {
                ImportReport.count(report.dropped, d.reason());
                return;
            }
            if (!mendTime(e)) {
                return;
            }
            add(e, (PlannedJob) made);
        }

        private void add(Entry e, PlannedJob planned) throws IOException {
            Record r = new Record();
            r.at = e.timeMicros;
            r.resolution = e.resolutionMicros;
            r.order = order++;
            r.jobClass = same(planned.jobClass());
            r.tenant = same(planned.tenant());
            r.key = planned.key();
            r.retryKey = planned.retryKey();
            r.deadlineMicros = planned.deadlineMicros();
            r.bodyBytes =
                    (int)
                            Math.min(
                                    Integer.MAX_VALUE,
                                    planned.bodyBytes() >= 0
                                            ? planned.bodyBytes()
                                            : Math.max(0, e.bytesReceived()));
            r.status = e.status();
            r.durationMicros = e.durationMicros();
            r.markedRetry = e.markedRetry();
            marks |= r.markedRetry;
            r.source = number;
            r.line = e.line;
            sorter.add(r);
        }

        /** False if the entry is rejected for its time. */
        private boolean mendTime(Entry e) throws IOException {
            long time = e.timeMicros + offsetMicros;
            if (lastMicros == Long.MIN_VALUE) {
                lastMicros = time;
                return true;
            }
            if (e.ambiguous
                    && time < lastMicros - policies.backwardsToleranceMicros
                    && policies.of(Cause.DST_FOLD).equals("later")) {
                time += fold(e);
                count(Cause.DST_FOLD, e, "read as its second time");
            }
            if (time < lastMicros - policies.backwardsToleranceMicros) {
                String action = policies.of(Cause.CLOCK_BACKWARDS);
                String text = "by " + (lastMicros - time) / 1_000_000 + " s";
                if (action.equals("reject")) {
                    reject(Cause.CLOCK_BACKWARDS, e.line, text);
                    return false;
                }
                count(Cause.CLOCK_BACKWARDS, e, text);
                if (action.equals("shift")) {
                    offsetMicros += lastMicros - time;
                    time = lastMicros;
                } else {
                    lastMicros =
                            time; // Kept: told once for each jump, not for each line behind it.
                }
            } else if (time > lastMicros + policies.forwardsGapMicros) {
                String action = policies.of(Cause.CLOCK_FORWARDS);
                String text = "by " + (time - lastMicros) / 1_000_000 + " s";
                if (action.equals("reject")) {
                    reject(Cause.CLOCK_FORWARDS, e.line, text);
                    return false;
                }
                count(Cause.CLOCK_FORWARDS, e, text);
                if (action.equals("close")) {
                    offsetMicros -= time - lastMicros;
                    time = lastMicros;
                }
            }
            lastMicros = Math.max(lastMicros, time);
            e.timeMicros = time;
            return true;
        }

        private long fold(Entry e) {
            return postgrade.load.source.Folds.micros(e.timeMicros, policies.zone);
        }

        private void count(Cause cause, Entry e, String text) throws IOException {
            ImportReport.count(report.repaired, cause);
            note(cause, e.line, "repaired", text);
        }

        @Override
        public void repaired(Cause cause, long line, String text) throws IOException {
            ImportReport.count(report.repaired, cause);
            note(cause, line, "repaired", text);
        }

        @Override
        public void rejected(Cause cause, long line, String text) throws IOException {
            report.entries++;
            lastLine = line;
            reject(cause, line, text);
        }

        private void reject(Cause cause, long line, String text) throws IOException {
            ImportReport.count(report.rejected, cause);
            note(cause, line, "rejected", text);
            boolean meant =
                    cause == Cause.WEBSOCKET || cause == Cause.CACHED; // Left out as the plan says.
            if (job.strict && !meant) {
                throw new StrictException(
                        name + ":" + line + ": " + cause.key() + ": " + cause.meaning);
            }
        }

        private void note(Cause cause, long line, String action, String text) throws IOException {
            if (rejects == null) {
                return;
            }
            rejects.writeStartObject();
            rejects.writeStringField("file", name);
            rejects.writeNumberField("line", line);
            rejects.writeStringField("cause", cause.key());
            rejects.writeStringField("action", action);
            rejects.writeStringField("text", text);
            rejects.writeEndObject();
        }
    }

    private String same(String text) {
        if (text == null || interned.size() > 10_000) {
            return text;
        }
        String known = interned.putIfAbsent(text, text);
        return known == null ? text : known;
    }

    // ---- Writing.

    private void write() throws IOException {
        Policies policies = used == null ? new Policies() : used.policies();
        RetryChains chains = new RetryChains(policies, marks);
        Output output = new Output(policies, chains);
        Spreader spreader =
                new Spreader(policies.of(Cause.SECOND_RESOLUTION).equals("spread"), output::take);
        try {
            sorter.drain(spreader::take);
            spreader.end();
            output.end();
        } finally {
            output.abandon();
        }
        report.jobs = output.written();
        if (spreader.spread() > 0) {
            report.repaired.put(Cause.SECOND_RESOLUTION, spreader.spread());
        }
    }

    /** Writes records as the trace's jobs. */
    private final class Output {
        private final Policies policies;
        private final RetryChains chains;
        private TraceWriter writer;

        Output(Policies policies, RetryChains chains) {
            this.policies = policies;
            this.chains = chains;
        }

        void take(Record r) throws IOException {
            if (writer == null) {
                report.firstMicros = r.at;
                writer = new TraceWriter(job.out, header(r.at));
            }
            RetryChains.Link link = chains.link(r);
            if (link.orphan()) {
                if (policies.of(Cause.RETRY_WITHOUT_FIRST).equals("drop")) {
                    ImportReport.count(report.rejected, Cause.RETRY_WITHOUT_FIRST);
                    return;
                }
                ImportReport.count(report.repaired, Cause.RETRY_WITHOUT_FIRST);
            }
            long number =
                    writer.add(
                            new TraceJob(
                                    0,
                                    r.at - report.firstMicros,
                                    r.jobClass,
                                    r.tenant,
                                    r.key,
                                    r.deadlineMicros,
                                    r.bodyBytes,
                                    r.status,
                                    r.durationMicros,
                                    link.firstTry(),
                                    link.attempt(),
                                    r.source,
                                    r.line));
            chains.written(r, number, link);
            report.lastMicros = r.at;
            report.retries += link.firstTry() > 0 ? 1 : 0;
        }

        private Header header(long start) {
            Header.Builder h =
                    Header.newBuilder()
                            .setMadeBy(job.madeBy)
                            .setStartUnixMicros(start)
                            .addAllSources(sources);
            if (used != null) {
                h.setPlan(used.name()).setPlanSha256(used.sha256());
            }
            return h.build();
        }

        void end() throws IOException {
            if (writer == null) {
                writer = new TraceWriter(job.out, header(0));
            }
            writer.close();
        }

        void abandon() throws IOException {
            if (writer != null) {
                writer.abandon();
            }
        }

        long written() {
            return writer.jobs();
        }
    }
}

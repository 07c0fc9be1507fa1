package postgrade.lab.tables;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.check.LedgerReader.Line;

/**
 * A run as its ledgers tell it, one row for each request that was to be sent. Made from the ledgers
 * alone, so a run that was cut off can be told of as well.
 */
public final class RunData {

    /** How a request ended, as its client saw it. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        GAVE_UP,
        BROKEN,
        UNSENT,
        LOST
    }

    /**
     * One request. Times are microseconds since the run's start; -1 for what did not happen.
     *
     * @param worker that served it, or null
     * @param retryAfter as the dispatcher advised, in seconds; -1 for none
     */
    public record Row(
            String id,
            String job,
            String jobClass,
            String tenant,
            int attempt,
            long intended,
            long sent,
            long answered,
            int status,
            End end,
            String worker,
            double retryAfter,
            long deadline) {

        /** From the intended time to the answer; -1 without one. */
        public long latency() {
            return answered < 0 ? -1 : answered - intended;
        }
    }

    public final Path folder;
    public final List<Row> rows = new ArrayList<>();

    /** Attempts that each worker received. */
    public final Map<String, Long> attemptsByWorker = new java.util.TreeMap<>();

    /** Faults of the fleet, as they began and ended. */
    public final List<Line> faults = new ArrayList<>();

    public long startMicros;
    private Map<String, java.util.TreeMap<Integer, RunTables.Second>> seconds;

    /** What the run began with, as the ledger tells it. */
    public String began = "";

    private RunData(Path folder) {
        this.folder = folder;
    }

    /** Reads a run's folder. */
    public static RunData read(Path folder) throws IOException {
        Path clients = folder.resolve("clients.ledger");
        if (!Files.exists(clients)) {
            throw new java.nio.file.NoSuchFileException(clients.toString());
        }
        RunData run = new RunData(folder);
        run.clients(LedgerReader.read(clients));
        if (Files.exists(folder.resolve("workers.ledger"))) {
            for (Line l : LedgerReader.read(folder.resolve("workers.ledger"))) {
                if (l.event().equals("received")) {
                    run.attemptsByWorker.merge(l.party(), 1L, Long::sum);
                }
            }
        }
        if (Files.exists(folder.resolve("discovery.ledger"))) {
            LedgerReader.read(folder.resolve("discovery.ledger")).stream()
                    .filter(l -> l.event().equals("fault"))
                    .forEach(run.faults::add);
        }
        return run;
    }

    private void clients(List<Line> lines) {
        Map<String, Line> answers = new HashMap<>();
        Map<String, String> ends = new HashMap<>();
        startMicros = Long.MAX_VALUE;
        for (Line l : lines) {
            switch (l.event()) {
                case "answer" -> answers.put(l.id(), l);
                case "gave-up", "broken", "broken-idle", "client-died" ->
                        ends.put(l.id(), l.event());
                case "began" -> began = l.detail();
                case "sent", "unsent" -> startMicros = Math.min(startMicros, l.number("intended"));
                default -> {}
            }
        }
        for (Line l : lines) {
            if (l.event().equals("sent")) {
                rows.add(row(l, l.micros(), answers.get(l.id()), ends.get(l.id())));
            } else if (l.event().equals("unsent")) {
                rows.add(row(l, -1, null, "unsent"));
            }
        }
        rows.sort((a, b) -> Long.compare(a.intended, b.intended));
    }

    private Row row(Line l, long sent, Line answer, String ended) {
        int status = answer == null ? 0 : (int) answer.number("status");
        End end =
                answer != null
                        ? status == 200
                                ? End.SERVED
                                : status == 429 || status == 503 ? End.REFUSED : End.FAILED
                        : ended == null
                                ? End.LOST
                                : switch (ended) {
                                    case "gave-up" -> End.GAVE_UP;
                                    case "unsent" -> End.UNSENT;
                                    case "client-died" -> End.LOST;
                                    default -> End.BROKEN;
                                };
        String result = answer == null || status != 200 ? null : answer.value("result");
        String worker =
                result == null || !result.startsWith("r.")
                        ? null
                        : result.substring(2, result.lastIndexOf('.'));
        String retryAfter = answer == null ? null : answer.value("retry_after");
        return new Row(
                l.id(),
                l.value("job"),
                l.value("class"),
                l.value("tenant"),
                (int) l.number("attempt"),
                l.number("intended") - startMicros,
                sent < 0 ? -1 : sent - startMicros,
                answer == null ? -1 : answer.micros() - startMicros,
                status,
                end,
                worker,
                retryAfter == null ? -1 : Double.parseDouble(retryAfter),
                l.number("deadline"));
    }

    /** Counts by class and second, made once: every table and figure asks for them. */
    Map<String, java.util.TreeMap<Integer, RunTables.Second>> seconds(
            java.util.function.Function<
                            RunData, Map<String, java.util.TreeMap<Integer, RunTables.Second>>>
                    make) {
        if (seconds == null) {
            seconds = make.apply(this);
        }
        return seconds;
    }

    /** The run's length, from the first intended time to the last thing known of a request. */
    public double seconds() {
        long last = 0;
        for (Row r : rows) {
            last = Math.max(last, Math.max(r.intended, r.answered));
        }
        return last / 1e6;
    }
}

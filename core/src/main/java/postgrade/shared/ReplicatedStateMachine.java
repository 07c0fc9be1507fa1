package postgrade.shared;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import postgrade.shared.Rows.Change;

/**
 * The replicated state machine. Each replica applies the same commands in the same order and
 * arrives at the same rows, log time and answers.
 *
 * <p>A command with a request id takes effect once: the first answer is kept among the rows and
 * returned again, also by a later leader and to a client that repeats the call through another
 * process.
 */
public final class ReplicatedStateMachine {

    /**
     * The part with the single command that advances log time. The leader proposes it with the
     * interval that its own clock measured.
     */
    public static final String CLOCK = "clock";

    /**
     * Upper bound of the time that one entry adds: a leader that was suspended adds the time in
     * small steps, or not at all.
     */
    public static final long MAX_ADVANCE_MICROS = 1_000_000;

    private static final String REQUESTS = "request";

    /** Calls are not repeated later than this. Bounds the size of the state. */
    private static final long ANSWER_RETENTION_MICROS = 600_000_000;

    private static final int MAX_ANSWERS = 10_000;
    private static final long EVICTION_INTERVAL_MICROS = 10_000_000;
    private static final String FIELD_PREFIX = "field.";

    /**
     * A retained answer, ordered by the time it was given and then by its request id, because every
     * replica must evict the same answers.
     */
    private record RetainedAnswer(long micros, String requestId) {
        static final Comparator<RetainedAnswer> OLDEST_FIRST =
                Comparator.comparingLong(RetainedAnswer::micros)
                        .thenComparing(RetainedAnswer::requestId);
    }

    private final Map<String, StatePart> parts = new TreeMap<>();
    private Rows rows = new Rows();

    /** Index of the answers among the rows, so that eviction need not scan all of them. */
    private final NavigableSet<RetainedAnswer> retainedAnswers =
            new TreeSet<>(RetainedAnswer.OLDEST_FIRST);

    private Moment current;

    public ReplicatedStateMachine(long era, List<StatePart> parts) {
        current = new Moment(era, 0, 0);
        parts.forEach(part -> this.parts.put(part.name(), part));
    }

    /** A command that advances log time. */
    public static Command advance(String from, long incarnation, long byMicros) {
        return new Command("", from, incarnation, CLOCK, "advance", Row.of("by", byMicros));
    }

    public Moment moment() {
        return current;
    }

    /** The live rows; they change with later commands. */
    public Rows rows() {
        return rows;
    }

    /** Applies one entry. Indices must increase. */
    public Answer apply(long index, Command command) {
        if (index <= current.index()) {
            throw new IllegalArgumentException(
                    "entry index "
                            + index
                            + " is not above the last applied index "
                            + current.index());
        }
        current = new Moment(current.era(), index, current.micros());
        rows.setIndex(index);
        if (command.part().equals(CLOCK)) {
            return applyAdvance(command);
        }
        Row earlier =
                command.requestId().isEmpty() ? null : rows.get(REQUESTS, command.requestId());
        if (earlier != null) {
            return earlier.text("asked").equals(callSignature(command))
                    ? fromRow(earlier)
                    : Answer.conflict("requestId was used for another call");
        }
        StatePart part = parts.get(command.part());
        Answer answer;
        try {
            answer =
                    part == null
                            ? Answer.unknown("part " + command.part() + " is not known")
                            : part.apply(rows, current, command);
        } catch (Row.InvalidFieldException e) {
            answer = Answer.faulty(e.getMessage());
        }
        if (!command.requestId().isEmpty()) {
            rows.put(
                    REQUESTS,
                    command.requestId(),
                    toRow(answer).with("asked", callSignature(command)));
            retainedAnswers.add(new RetainedAnswer(current.micros(), command.requestId()));
        }
        return answer;
    }

    private static String callSignature(Command command) {
        return command.part()
                + " "
                + command.verb()
                + " "
                + Integer.toHexString(command.args().hashCode());
    }

    private Answer applyAdvance(Command command) {
        long byMicros = Math.max(0, Math.min(MAX_ADVANCE_MICROS, command.args().integer("by", 0)));
        long previousMicros = current.micros();
        current = new Moment(current.era(), current.index(), previousMicros + byMicros);
        if (current.micros() / EVICTION_INTERVAL_MICROS > previousMicros / EVICTION_INTERVAL_MICROS
                || rows.count(REQUESTS) > MAX_ANSWERS) {
            evictAnswers();
        }
        parts.values().forEach(part -> part.advance(rows, current));
        return Answer.done("", Row.EMPTY);
    }

    private void evictAnswers() {
        while (!retainedAnswers.isEmpty()
                && (retainedAnswers.size() > MAX_ANSWERS
                        || current.micros() - retainedAnswers.first().micros
                                >= ANSWER_RETENTION_MICROS)) {
            rows.remove(REQUESTS, retainedAnswers.pollFirst().requestId);
        }
    }

    private Row toRow(Answer answer) {
        Map<String, String> values = new TreeMap<>();
        values.put("status", answer.status().name());
        values.put("text", answer.text());
        values.put("at", Long.toString(current.micros()));
        answer.fields().values().forEach((name, value) -> values.put(FIELD_PREFIX + name, value));
        return new Row(values);
    }

    private static Answer fromRow(Row row) {
        Map<String, String> fields = new TreeMap<>();
        row.values()
                .forEach(
                        (name, value) -> {
                            if (name.startsWith(FIELD_PREFIX)) {
                                fields.put(name.substring(FIELD_PREFIX.length()), value);
                            }
                        });
        return new Answer(
                Answer.Status.valueOf(row.text("status")), row.text("text"), new Row(fields));
    }

    /** The complete state, for a replica that joins later. */
    public record Snapshot(Moment moment, List<Change> rows) {}

    public Snapshot snapshot() {
        return new Snapshot(current, rows.all());
    }

    public void restore(Snapshot snapshot) {
        current = snapshot.moment();
        rows = Rows.fromSnapshot(current.index(), snapshot.rows());
        retainedAnswers.clear();
        rows.ofPart(REQUESTS)
                .forEach(
                        (id, row) ->
                                retainedAnswers.add(new RetainedAnswer(row.integer("at"), id)));
    }
}

package postgrade.shared;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import postgrade.shared.Rows.Change;

/**
 * The replicated state machine. Each replica carries out the same commands in the same order and
 * comes to the same rows, time and answers.
 *
 * <p>A command with a request id has its effect once: the first answer is kept among the rows and
 * told again, also by another leader after this one and to whoever asks it through another process.
 */
public final class ReplicatedStateMachine {

    /**
     * The part whose one command moves the log's time on. Proposed by whoever leads, by what its
     * own clock measured.
     */
    public static final String CLOCK = "clock";

    /**
     * The most that one entry moves the time on: a leader that slept says so in small steps, or not
     * at all.
     */
    public static final long MAX_ADVANCE_MICROS = 1_000_000;

    private static final String REQUESTS = "request";

    /** A call is not repeated later than this. Guards the state against growing for ever. */
    private static final long KEEP_ANSWERS_MICROS = 600_000_000;

    private static final int MOST_ANSWERS = 10_000;
    private static final long FORGET_EVERY_MICROS = 10_000_000;
    private static final String FIELD = "field.";

    /**
     * An answer that is kept, by when it was given; of one moment by its id, as every replica must
     * forget the same.
     */
    private record Kept(long micros, String requestId) {
        static final Comparator<Kept> OLDEST_FIRST =
                Comparator.comparingLong(Kept::micros).thenComparing(Kept::requestId);
    }

    private final Map<String, StatePart> parts = new TreeMap<>();
    private Rows rows = new Rows();

    /**
     * Of the answers among the rows, so that what is to be forgotten is found without looking at
     * them all.
     */
    private final NavigableSet<Kept> kept = new TreeSet<>(Kept.OLDEST_FIRST);

    private Moment at;

    public ReplicatedStateMachine(long era, List<StatePart> parts) {
        at = new Moment(era, 0, 0);
        parts.forEach(p -> this.parts.put(p.name(), p));
    }

    /** Moves the time on. */
    public static Command advance(String from, long incarnation, long byMicros) {
        return new Command("", from, incarnation, CLOCK, "advance", Row.of("by", byMicros));
    }

    public Moment moment() {
        return at;
    }

    /** As they stand; they go on changing. */
    public Rows rows() {
        return rows;
    }

    /** Carries out one entry. Indices only grow. */
    public Answer apply(long index, Command c) {
        if (index <= at.index()) {
            throw new IllegalArgumentException("entry " + index + " after entry " + at.index());
        }
        at = new Moment(at.era(), index, at.micros());
        rows.at(index);
        if (c.part().equals(CLOCK)) {
            return clock(c);
        }
        Row before = c.requestId().isEmpty() ? null : rows.get(REQUESTS, c.requestId());
        if (before != null) {
            return before.text("asked").equals(asked(c))
                    ? answer(before)
                    : Answer.conflict("requestId was used for another call");
        }
        StatePart part = parts.get(c.part());
        Answer answer;
        try {
            answer =
                    part == null
                            ? Answer.unknown("part " + c.part() + " is not known")
                            : part.apply(rows, at, c);
        } catch (Row.InvalidFieldException e) {
            answer = Answer.faulty(e.getMessage());
        }
        if (!c.requestId().isEmpty()) {
            rows.put(REQUESTS, c.requestId(), row(answer).with("asked", asked(c)));
            kept.add(new Kept(at.micros(), c.requestId()));
        }
        return answer;
    }

    private static String asked(Command c) {
        return c.part() + " " + c.verb() + " " + Integer.toHexString(c.args().hashCode());
    }

    private Answer clock(Command c) {
        long by = Math.max(0, Math.min(MAX_ADVANCE_MICROS, c.args().integer("by", 0)));
        long before = at.micros();
        at = new Moment(at.era(), at.index(), before + by);
        if (at.micros() / FORGET_EVERY_MICROS > before / FORGET_EVERY_MICROS
                || rows.count(REQUESTS) > MOST_ANSWERS) {
            forgetAnswers();
        }
        parts.values().forEach(p -> p.advance(rows, at));
        return Answer.done("", Row.EMPTY);
    }

    private void forgetAnswers() {
        while (!kept.isEmpty()
                && (kept.size() > MOST_ANSWERS
                        || at.micros() - kept.first().micros >= KEEP_ANSWERS_MICROS)) {
            rows.remove(REQUESTS, kept.pollFirst().requestId);
        }
    }

    private Row row(Answer a) {
        Map<String, String> values = new TreeMap<>();
        values.put("status", a.status().name());
        values.put("text", a.text());
        values.put("at", Long.toString(at.micros()));
        a.fields().values().forEach((name, value) -> values.put(FIELD + name, value));
        return new Row(values);
    }

    private static Answer answer(Row row) {
        Map<String, String> fields = new TreeMap<>();
        row.values()
                .forEach(
                        (name, value) -> {
                            if (name.startsWith(FIELD)) {
                                fields.put(name.substring(FIELD.length()), value);
                            }
                        });
        return new Answer(
                Answer.Status.valueOf(row.text("status")), row.text("text"), new Row(fields));
    }

    /** All there is to know, for a replica that comes later. */
    public record Snapshot(Moment moment, List<Change> rows) {}

    public Snapshot snapshot() {
        return new Snapshot(at, rows.all());
    }

    public void restore(Snapshot snapshot) {
        at = snapshot.moment();
        rows = Rows.fromSnapshot(at.index(), snapshot.rows());
        kept.clear();
        rows.ofPart(REQUESTS).forEach((id, row) -> kept.add(new Kept(row.integer("at"), id)));
    }
}

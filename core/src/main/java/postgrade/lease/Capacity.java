package postgrade.lease;

import java.util.Map;
import postgrade.lease.Unit.State;
import postgrade.shared.Answer;
import postgrade.shared.Moment;
import postgrade.shared.Row;

/**
 * What there is to reserve. Workers with their accelerators are set by configuration or by command,
 * each with a version that only grows, so that a late or repeated word never undoes a later one;
 * which of them are there is told from discovery, ordered by the worker's start and how far it has
 * come since.
 */
final class Capacity {

    private static final int MOST_UNITS = 4000;

    private final Book book;
    private final Moment at;

    Capacity(Book book, Moment at) {
        this.book = book;
        this.at = at;
    }

    /** A worker's accelerators. What it no longer has is lost by whoever holds it. */
    Answer unit(Row args) {
        String worker = Ask.name(args, "worker");
        String site = Ask.name(args, "site");
        String kind = Ask.name(args, "kind");
        long accelerators = args.integer("accelerators", 0, Allotment.MOST_PER_WORKER);
        long version = args.integer("version", 0, Long.MAX_VALUE);
        Unit was = book.unit(worker);
        if (was == null && book.unitCount() >= MOST_UNITS) {
            return Answer.conflict(
                    "worker "
                            + worker
                            + " is one more than the "
                            + MOST_UNITS
                            + " that there may be");
        }
        Unit now =
                new Unit(
                        worker,
                        site,
                        kind,
                        accelerators,
                        version,
                        was == null ? 0 : was.start(),
                        was == null ? State.READY : was.state());
        if (now.equals(was)) {
            return Answer.done("as it was", Row.EMPTY);
        }
        if (was != null && version <= was.version()) {
            return Answer.conflict("version must be above " + was.version());
        }
        book.put(now);
        boolean moved = was != null && (!was.site().equals(site) || !was.kind().equals(kind));
        cut(worker, moved ? 0 : Allotment.bits(accelerators));
        return Answer.done("set", Row.of("worker", worker, "version", version));
    }

    /**
     * Whoever holds accelerators that are gone loses them; they rest, should they come back soon.
     */
    private void cut(String worker, long mask) {
        for (Held h : book.held()) {
            long lost = h.allotment().on(worker) & ~mask;
            if (lost != 0) {
                book.rest(h, new Allotment(Map.of(worker, lost)), at.index(), Book.NEXT);
                Held left = h.with(h.allotment().within(worker, mask));
                if (left.allotment().size() == 0) {
                    book.end(h);
                } else {
                    book.put(left);
                }
            }
        }
    }

    /**
     * Discovery or an operator tells of a worker. While it is away its holders keep it and nobody
     * is granted it.
     */
    Answer presence(Row args) {
        String worker = Ask.name(args, "worker");
        long start = args.integer("start", 0, Long.MAX_VALUE);
        State state;
        try {
            state = State.valueOf(args.text("state"));
        } catch (IllegalArgumentException e) {
            return Answer.faulty("state must be READY, DRAINING, OUT or GONE");
        }
        Unit was = book.unit(worker);
        if (was == null) {
            return Answer.unknown("worker " + worker + " has no accelerators set");
        }
        boolean later =
                start > was.start() || start == was.start() && state.compareTo(was.state()) > 0;
        if (!later) {
            return start == was.start() && state == was.state()
                    ? Answer.done("as it was", Row.EMPTY)
                    : Answer.conflict(
                            "start and state are earlier than what was told of " + worker);
        }
        book.put(
                new Unit(
                        worker,
                        was.site(),
                        was.kind(),
                        was.accelerators(),
                        was.version(),
                        start,
                        state));
        return Answer.done("told", Row.EMPTY);
    }

    /**
     * Of a kind only so many thousandths of what is ready may be reserved at once; what is held
     * already stays.
     */
    Answer part(Row args) {
        String kind = Ask.name(args, "kind");
        long perMille = args.integer("perMille", 0, 1000);
        long version = args.integer("version", 0, Long.MAX_VALUE);
        Row was = book.part(kind);
        Row now = Row.of("perMille", perMille, "version", version);
        if (!now.equals(was)) {
            if (was != null && version <= was.integer("version")) {
                return Answer.conflict("version must be above " + was.integer("version"));
            }
            book.part(kind, now);
        }
        return Answer.done("set", now);
    }
}

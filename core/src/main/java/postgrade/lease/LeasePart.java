package postgrade.lease;

import postgrade.lease.Book.Place;
import postgrade.lease.Book.Rest;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * Reservations of accelerators in the shared state: who asks gets a place in the line, and the line
 * is served in order whenever something has become free. All that ends, by expiry, release or a
 * worker's loss, rests for the grace before it is granted anew, since dispatchers with an older
 * view go on using it for that long.
 */
public final class LeasePart implements StatePart {

    public static final String NAME = "lease";
    private static final int MOST_ROWS = 2000;

    private final LeaseTimes times;

    public LeasePart(LeaseTimes times) {
        this.times = times;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command c) {
        Book book = new Book(rows);
        Row args = c.args();
        Capacity capacity = new Capacity(book, at);
        Answer answer =
                switch (c.verb()) {
                    case "acquire" -> acquire(book, at, args);
                    case "renew" -> renew(book, at, args);
                    case "release" -> release(book, at, args);
                    case "unit" -> capacity.unit(args);
                    case "presence" -> capacity.presence(args);
                    case "part" -> capacity.part(args);
                    default -> Answer.unknown("there is no " + c.verb() + " of reservations");
                };
        if (answer.status() == Answer.Status.DONE && book.anyWaiting()) {
            new Granting(book, at, false).run();
        }
        // A place in the line may have been served by this very command.
        return c.verb().equals("acquire") && answer.status() == Answer.Status.DONE
                ? standing(book, at, args)
                : answer;
    }

    @Override
    public void advance(Rows rows, Moment at) {
        Book book = new Book(rows);
        boolean changed = false;
        for (Rest r : book.resting()) {
            if (r.untilMicros() == Book.NEXT) {
                book.rest(r, at.micros() + times.graceMicros());
            } else if (r.untilMicros() <= at.micros()) {
                book.rested(r);
                changed = true;
            }
        }
        for (Held h : book.held()) {
            if (h.untilMicros() == Book.NEXT) {
                book.put(h.until(at.micros() + h.ask().ttlMicros()));
            } else if (h.untilMicros() <= at.micros()) {
                end(book, at, h, at.micros() + times.graceMicros());
            }
        }
        for (Place p : book.line()) {
            if (p.untilMicros() == Book.NEXT) {
                book.put(new Place(p.key(), p.ask(), at.micros() + p.ask().ttlMicros()));
            } else if (p.untilMicros() <= at.micros()) {
                book.leave(p);
                changed = true;
            }
        }
        if (changed && book.anyWaiting()) {
            new Granting(book, at, true).run();
        }
    }

    private static void end(Book book, Moment at, Held h, long restUntil) {
        book.end(h);
        book.rest(h, h.allotment(), at.index(), restUntil);
    }

    // ---- Acquire.

    private Answer acquire(Book book, Moment at, Row args) {
        Ask ask = Ask.of(args);
        boolean waits = args.integer("wait", 1) != 0;
        Held held = book.held(ask.key());
        if (held != null) {
            return again(book, at, held, ask);
        }
        Place place = book.place(ask.key());
        if (place != null) {
            return wait(book, place, ask);
        }
        long ever = Granting.ever(book, ask, true);
        if (ask.accelerators() > ever) {
            return Answer.conflict("accelerators must be at most " + ever + " here");
        }
        if (book.heldAndWaiting() >= MOST_ROWS) {
            return Answer.conflict(
                    "holder would be one more than the " + MOST_ROWS + " that may hold or wait");
        }
        Place last = new Place(String.format("%019d", at.fence()), ask, Book.NEXT);
        book.put(last);
        new Granting(book, at, false).run();
        if (!waits && book.held(ask.key()) == null) {
            book.leave(last);
            return Answer.conflict("accelerators: there are not so many free now");
        }
        return Answer.done("", Row.EMPTY);
    }

    /** Who holds it already asks again: by itself, or started anew and knowing nothing. */
    private static Answer again(Book book, Moment at, Held held, Ask ask) {
        Ask was = held.ask();
        if (ask.incarnation() < was.incarnation()) {
            return older(was);
        }
        if (ask.accelerators() != was.accelerators()) {
            return Answer.conflict(
                    "accelerators differs from the "
                            + was.accelerators()
                            + " that are held; release them first");
        }
        // A new fence for a new incarnation: what the former one still has on its way is turned
        // away at the workers.
        long fence = ask.incarnation() > was.incarnation() ? at.fence() : held.fence();
        book.put(new Held(ask, fence, held.sinceMicros(), Book.NEXT, held.allotment()));
        return Answer.done("", Row.EMPTY);
    }

    private static Answer wait(Book book, Place place, Ask ask) {
        if (ask.incarnation() < place.ask().incarnation()) {
            return older(place.ask());
        }
        if (ask.accelerators() != place.ask().accelerators()) {
            return Answer.conflict(
                    "accelerators differs from the "
                            + place.ask().accelerators()
                            + " that are waited for; release the place first");
        }
        book.put(new Place(place.key(), ask, Book.NEXT));
        return Answer.done("", Row.EMPTY);
    }

    private static Answer older(Ask known) {
        return Answer.conflict(
                "incarnation is below " + known.incarnation() + ", which has come since");
    }

    private static Answer standing(Book book, Moment at, Row args) {
        Ask ask = Ask.named(args);
        Held held = book.held(ask.key());
        if (held != null) {
            return Answer.done("granted", granted(held, at));
        }
        Place place = book.place(ask.key());
        long before = book.line().stream().filter(p -> p.key().compareTo(place.key()) < 0).count();
        return Answer.done(
                "waiting",
                Row.of(
                        "state",
                        "waiting",
                        "place",
                        before + 1,
                        "renewWithinMs",
                        place.ask().ttlMicros() / 1000));
    }

    private static Row granted(Held held, Moment at) {
        return Row.of(
                "state",
                "granted",
                "fence",
                held.fence(),
                "accelerators",
                held.allotment().size(),
                "allotment",
                held.allotment(),
                "renewWithinMs",
                held.leftMicros(at.micros()) / 1000);
    }

    // ---- Renew and release.

    private static Answer renew(Book book, Moment at, Row args) {
        Ask who = Ask.named(args);
        Held held = book.held(who.key());
        Place place = held == null ? book.place(who.key()) : null;
        Ask known = held != null ? held.ask() : place != null ? place.ask() : null;
        if (known == null) {
            return Answer.unknown(
                    "holder " + who.holder() + " holds nothing here and does not wait");
        }
        if (who.incarnation() != known.incarnation()) {
            return who.incarnation() < known.incarnation()
                    ? older(known)
                    : Answer.conflict("incarnation is not that of the grant; acquire again");
        }
        if (place != null) {
            book.put(new Place(place.key(), known, Book.NEXT));
            return standing(book, at, args);
        }
        if (args.integer("fence") != held.fence()) {
            return Answer.conflict("fence is not that of the present grant");
        }
        Held renewed = held.until(Book.NEXT);
        book.put(renewed);
        return Answer.done("renewed", granted(renewed, at));
    }

    /**
     * A late release never ends a later grant; one that crosses the expiry finds that it came to
     * the same.
     */
    private Answer release(Book book, Moment at, Row args) {
        Ask who = Ask.named(args);
        boolean force = args.integer("force", 0) != 0;
        Held held = book.held(who.key());
        if (held == null) {
            Place place = book.place(who.key());
            if (place != null) {
                if (!force && who.incarnation() < place.ask().incarnation()) {
                    return older(place.ask());
                }
                book.leave(place);
                return Answer.done("left the line", Row.EMPTY);
            }
            return args.has("fence") && book.justEnded(who.key(), args.integer("fence"))
                    ? Answer.done("had ended", Row.EMPTY)
                    : Answer.unknown(
                            "holder " + who.holder() + " holds nothing here and does not wait");
        }
        if (!force && who.incarnation() < held.ask().incarnation()) {
            return older(held.ask());
        }
        if (!force && args.integer("fence") != held.fence()) {
            return Answer.conflict("fence is not that of the present grant");
        }
        end(book, at, held, Book.NEXT);
        return Answer.done(
                "released", Row.of("fence", held.fence(), "freeInMs", times.graceMicros() / 1000));
    }
}

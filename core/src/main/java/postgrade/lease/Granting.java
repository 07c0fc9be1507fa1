package postgrade.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import postgrade.lease.Book.Place;
import postgrade.shared.Moment;
import postgrade.shared.Row;

/**
 * Goes down the line and grants what is free. Nobody is overtaken by who came later and wants any
 * of the same workers: what an earlier one waits for is kept from the later ones. One that could
 * not be served even if nobody held anything, since workers are away, keeps its place and holds up
 * nobody.
 */
final class Granting {

    private static final int WHOLE = 1000;

    private final Book book;
    private final Moment at;
    private final boolean clock;
    private final List<Unit> units;
    private final Map<String, Long> taken;

    /** Of each kind of which a part alone may be reserved: how much of that is left. */
    private final Map<String, Long> room = new TreeMap<>();

    private final Set<String> keptUnits = new HashSet<>();
    private final Set<String> keptKinds = new HashSet<>();

    /**
     * @param clock the entry is one that moves the time on
     */
    Granting(Book book, Moment at, boolean clock) {
        this.book = book;
        this.at = at;
        this.clock = clock;
        units = book.units();
        taken = book.taken();
        for (Unit u : units) {
            if (book.part(u.kind()) != null) {
                // Also what is held of workers that are away: they may come back.
                room.computeIfAbsent(u.kind(), k -> most(book, units, k, false));
                use(room, u.kind(), Long.bitCount(takenOn(u)));
            }
        }
    }

    private static void use(Map<String, Long> of, String kind, long count) {
        of.computeIfPresent(kind, (k, left) -> left - count);
    }

    private long takenOn(Unit u) {
        return taken.getOrDefault(u.worker(), 0L);
    }

    /** How much of a kind may be reserved, of what is ready or of all that is configured. */
    private static long most(Book book, List<Unit> units, String kind, boolean all) {
        long has =
                units.stream()
                        .filter(u -> u.kind().equals(kind) && (all || u.ready()))
                        .mapToLong(Unit::accelerators)
                        .sum();
        Row part = book.part(kind);
        return part == null ? has : has * part.integer("perMille") / WHOLE;
    }

    /**
     * The most that one could ever be granted of this while the configured workers are all there.
     */
    static long ever(Book book, Ask ask, boolean all) {
        List<Unit> units = book.units();
        Map<String, Long> matching = new TreeMap<>();
        units.stream()
                .filter(u -> u.matches(ask) && (all || u.ready()))
                .forEach(u -> matching.merge(u.kind(), u.accelerators(), Long::sum));
        return matching.entrySet().stream()
                .mapToLong(e -> Math.min(e.getValue(), most(book, units, e.getKey(), all)))
                .sum();
    }

    void run() {
        for (Place place : book.line()) {
            Ask ask = place.ask();
            Allotment allotment = find(ask);
            if (allotment != null) {
                book.leave(place);
                book.put(
                        new Held(
                                ask,
                                at.fence(),
                                at.micros(),
                                clock ? at.micros() + ask.ttlMicros() : Book.NEXT,
                                allotment));
                for (Map.Entry<String, Long> e : allotment.masks().entrySet()) {
                    taken.merge(e.getKey(), e.getValue(), (a, b) -> a | b);
                    use(room, book.unit(e.getKey()).kind(), Long.bitCount(e.getValue()));
                }
            } else if (ever(book, ask, false) >= ask.accelerators()) {
                units.stream()
                        .filter(u -> u.matches(ask))
                        .forEach(
                                u -> {
                                    keptUnits.add(u.worker());
                                    keptKinds.add(u.kind());
                                });
            }
        }
    }

    /**
     * Workers in the order of their ids, the lowest accelerators of each first; null where there
     * are too few.
     */
    private Allotment find(Ask ask) {
        Map<String, Long> found = new TreeMap<>();
        Map<String, Long> left = new TreeMap<>(room);
        long wanted = ask.accelerators();
        for (Unit u : units) {
            if (wanted == 0) {
                break;
            }
            if (!u.matches(ask)
                    || !u.ready()
                    || keptUnits.contains(u.worker())
                    || keptKinds.contains(u.kind()) && room.containsKey(u.kind())) {
                continue;
            }
            long free = Allotment.bits(u.accelerators()) & ~takenOn(u);
            long take =
                    Math.min(
                            wanted,
                            Math.min(
                                    Long.bitCount(free),
                                    Math.max(0, left.getOrDefault(u.kind(), Long.MAX_VALUE))));
            long mask = 0;
            for (long i = 0; i < take; i++) {
                mask |= Long.lowestOneBit(free & ~mask);
            }
            found.put(u.worker(), mask);
            use(left, u.kind(), take);
            wanted -= take;
        }
        return wanted == 0 ? new Allotment(found) : null;
    }
}

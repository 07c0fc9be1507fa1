package postgrade.window;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A version of a site's maintenance calendar, worked out over a horizon: sorted arrays, asked by
 * binary search. Making it takes milliseconds, so it is made where calendars are loaded and not
 * where jobs are decided. Immutable.
 */
public final class SiteCalendar {

    private final String site;
    private final String version;
    private final long from;
    private final long to;
    private final Intervals closed;

    /**
     * All spans by their begin; those of the i-th closed stretch begin at its place in {@code
     * groups}.
     */
    private final long[] spanFrom;

    private final long[] spanTo;
    private final int[] spanEvent;
    private final int[] groups;
    private final List<MaintenanceEvent> events;

    private SiteCalendar(
            String site,
            String version,
            long from,
            long to,
            List<MaintenanceEvent> events,
            Spans spans) {
        this.site = site;
        this.version = version;
        this.from = from;
        this.to = to;
        this.events = List.copyOf(events);
        spans.sort();
        spanFrom = spans.from;
        spanTo = spans.to;
        spanEvent = spans.event;
        Intervals.Gathering all = new Intervals.Gathering();
        for (int i = 0; i < spanFrom.length; i++) {
            all.add(spanFrom[i], spanTo[i]);
        }
        closed = all.union();
        groups = new int[closed.size() + 1];
        int span = 0;
        for (int i = 0; i < closed.size(); i++) {
            groups[i] = span;
            while (span < spanFrom.length && spanFrom[span] < closed.to(i)) {
                span++;
            }
        }
        groups[closed.size()] = spanFrom.length;
    }

    /**
     * Works a calendar out from one time to another.
     *
     * @throws InvalidCalendarException where that takes too much
     */
    public static SiteCalendar compile(
            String site, String version, List<MaintenanceEvent> events, long from, long to) {
        return compile(site, version, events, from, to, new Steps());
    }

    /** The same, with bounds on the work that others share. */
    public static SiteCalendar compile(
            String site,
            String version,
            List<MaintenanceEvent> events,
            long from,
            long to,
            Steps steps) {
        Spans spans = new Spans();
        for (int i = 0; i < events.size(); i++) {
            int event = i;
            Expansion.of(
                    events.get(i), from, to, steps, (begin, end) -> spans.add(begin, end, event));
        }
        return new SiteCalendar(site, version, from, to, events, spans);
    }

    /** A site that is never closed. */
    public static SiteCalendar open(String site) {
        return new SiteCalendar(
                site, "", Long.MIN_VALUE / 4, Long.MAX_VALUE / 4, List.of(), new Spans());
    }

    /** Closed where either is; known where both are. */
    public SiteCalendar and(SiteCalendar other) {
        Spans both = new Spans();
        for (int i = 0; i < spanFrom.length; i++) {
            both.add(spanFrom[i], spanTo[i], spanEvent[i]);
        }
        for (int i = 0; i < other.spanFrom.length; i++) {
            both.add(other.spanFrom[i], other.spanTo[i], events.size() + other.spanEvent[i]);
        }
        List<MaintenanceEvent> all = new ArrayList<>(events);
        all.addAll(other.events);
        return new SiteCalendar(
                site,
                version + "+" + other.version,
                Math.max(from, other.from),
                Math.min(to, other.to),
                all,
                both);
    }

    public String site() {
        return site;
    }

    public String version() {
        return version;
    }

    /** Before this it tells nothing. */
    public long knownFrom() {
        return from;
    }

    /** From this on it tells nothing. */
    public long knownTo() {
        return to;
    }

    /** When the site is closed, within what is known. */
    public Intervals closed() {
        return closed;
    }

    /** What closes it in the i-th closed stretch: the events, each named once. */
    public String why(int i) {
        StringBuilder text = new StringBuilder();
        java.util.BitSet named = new java.util.BitSet();
        for (int s = groups[i]; s < groups[i + 1]; s++) {
            if (!named.get(spanEvent[s])) {
                named.set(spanEvent[s]);
                MaintenanceEvent event = events.get(spanEvent[s]);
                text.append(text.length() == 0 ? "" : ", ")
                        .append(event.title())
                        .append(" (line ")
                        .append(event.line())
                        .append(')');
            }
        }
        return text.toString();
    }

    private static final class Spans {
        private long[] from = new long[16];
        private long[] to = new long[16];
        private int[] event = new int[16];
        private int size;

        void add(long begin, long end, int ofEvent) {
            if (size == from.length) {
                from = Arrays.copyOf(from, 2 * size);
                to = Arrays.copyOf(to, 2 * size);
                event = Arrays.copyOf(event, 2 * size);
            }
            from[size] = begin;
            to[size] = end;
            event[size++] = ofEvent;
        }

        void sort() {
            Integer[] order = new Integer[size];
            Arrays.setAll(order, i -> i);
            Arrays.sort(order, (a, b) -> Long.compare(from[a], from[b]));
            long[] f = new long[size];
            long[] t = new long[size];
            int[] e = new int[size];
            for (int i = 0; i < size; i++) {
                f[i] = from[order[i]];
                t[i] = to[order[i]];
                e[i] = event[order[i]];
            }
            from = f;
            to = t;
            event = e;
        }
    }
}

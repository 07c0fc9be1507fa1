package postgrade.window;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A version of a site's maintenance calendar, compiled over a horizon into sorted arrays that are
 * searched by binary search. Compilation takes milliseconds, so it happens where calendars are
 * loaded and not where jobs are scheduled. Immutable.
 */
public final class SiteCalendar {

    private final String site;
    private final String version;
    private final long horizonStart;
    private final long horizonEnd;
    private final Intervals closed;

    /**
     * All spans, sorted by start; the spans of the i-th closed interval start at index {@code
     * firstSpanOfClosure[i]}.
     */
    private final long[] spanFrom;

    private final long[] spanTo;
    private final int[] spanEvent;
    private final int[] firstSpanOfClosure;
    private final List<MaintenanceEvent> events;

    private SiteCalendar(
            String site,
            String version,
            long horizonStart,
            long horizonEnd,
            List<MaintenanceEvent> events,
            Spans spans) {
        this.site = site;
        this.version = version;
        this.horizonStart = horizonStart;
        this.horizonEnd = horizonEnd;
        this.events = List.copyOf(events);
        spans.sort();
        spanFrom = spans.from;
        spanTo = spans.to;
        spanEvent = spans.event;
        Intervals.Builder all = new Intervals.Builder();
        for (int i = 0; i < spanFrom.length; i++) {
            all.add(spanFrom[i], spanTo[i]);
        }
        closed = all.buildUnion();
        firstSpanOfClosure = new int[closed.size() + 1];
        int span = 0;
        for (int i = 0; i < closed.size(); i++) {
            firstSpanOfClosure[i] = span;
            while (span < spanFrom.length && spanFrom[span] < closed.to(i)) {
                span++;
            }
        }
        firstSpanOfClosure[closed.size()] = spanFrom.length;
    }

    /**
     * Compiles a calendar over a horizon.
     *
     * @throws InvalidCalendarException if this takes too many steps or occurrences
     */
    public static SiteCalendar compile(
            String site,
            String version,
            List<MaintenanceEvent> events,
            long horizonStart,
            long horizonEnd) {
        return compile(site, version, events, horizonStart, horizonEnd, new ExpansionBudget());
    }

    /** Compiles a calendar with a budget that is shared with other work. */
    public static SiteCalendar compile(
            String site,
            String version,
            List<MaintenanceEvent> events,
            long horizonStart,
            long horizonEnd,
            ExpansionBudget budget) {
        Spans spans = new Spans();
        for (int i = 0; i < events.size(); i++) {
            int eventIndex = i;
            InstanceExpander.expand(
                    events.get(i),
                    horizonStart,
                    horizonEnd,
                    budget,
                    (begin, end) -> spans.add(begin, end, eventIndex));
        }
        return new SiteCalendar(site, version, horizonStart, horizonEnd, events, spans);
    }

    /** Returns the calendar of a site that is never closed. */
    public static SiteCalendar alwaysOpen(String site) {
        return new SiteCalendar(
                site, "", Long.MIN_VALUE / 4, Long.MAX_VALUE / 4, List.of(), new Spans());
    }

    /** Returns a calendar that is closed where either one is, over the horizon that both cover. */
    public SiteCalendar merge(SiteCalendar other) {
        Spans mergedSpans = new Spans();
        for (int i = 0; i < spanFrom.length; i++) {
            mergedSpans.add(spanFrom[i], spanTo[i], spanEvent[i]);
        }
        for (int i = 0; i < other.spanFrom.length; i++) {
            mergedSpans.add(other.spanFrom[i], other.spanTo[i], events.size() + other.spanEvent[i]);
        }
        List<MaintenanceEvent> mergedEvents = new ArrayList<>(events);
        mergedEvents.addAll(other.events);
        return new SiteCalendar(
                site,
                version + "+" + other.version,
                Math.max(horizonStart, other.horizonStart),
                Math.min(horizonEnd, other.horizonEnd),
                mergedEvents,
                mergedSpans);
    }

    public String site() {
        return site;
    }

    public String version() {
        return version;
    }

    /** Start of the horizon; nothing is known before it. */
    public long horizonStart() {
        return horizonStart;
    }

    /** End of the horizon, exclusive; nothing is known from then on. */
    public long horizonEnd() {
        return horizonEnd;
    }

    /** Returns when the site is closed, within the horizon. */
    public Intervals closed() {
        return closed;
    }

    /** Returns the titles of the events in the i-th closed interval, each listed once. */
    public String closureReason(int closure) {
        StringBuilder text = new StringBuilder();
        java.util.BitSet listed = new java.util.BitSet();
        for (int s = firstSpanOfClosure[closure]; s < firstSpanOfClosure[closure + 1]; s++) {
            if (!listed.get(spanEvent[s])) {
                listed.set(spanEvent[s]);
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

        void add(long begin, long end, int eventIndex) {
            if (size == from.length) {
                from = Arrays.copyOf(from, 2 * size);
                to = Arrays.copyOf(to, 2 * size);
                event = Arrays.copyOf(event, 2 * size);
            }
            from[size] = begin;
            to[size] = end;
            event[size++] = eventIndex;
        }

        void sort() {
            Integer[] order = new Integer[size];
            Arrays.setAll(order, i -> i);
            Arrays.sort(order, (a, b) -> Long.compare(from[a], from[b]));
            long[] sortedFrom = new long[size];
            long[] sortedTo = new long[size];
            int[] sortedEvent = new int[size];
            for (int i = 0; i < size; i++) {
                sortedFrom[i] = from[order[i]];
                sortedTo[i] = to[order[i]];
                sortedEvent[i] = event[order[i]];
            }
            from = sortedFrom;
            to = sortedTo;
            event = sortedEvent;
        }
    }
}

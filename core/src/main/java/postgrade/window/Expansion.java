package postgrade.window;

import java.time.LocalDateTime;
import java.util.HashSet;
import java.util.Set;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.Extra;
import postgrade.window.MaintenanceEvent.ZonedTime;

/** Every instance of an event that overlaps a stretch of time. */
final class Expansion {

    /** Further than any zone has ever put its clocks at once, with room to spare. */
    private static final int ZONE_DAYS = 3;

    interface Sink {
        void span(long from, long to);
    }

    private final MaintenanceEvent event;
    private final long from;
    private final long to;
    private final Steps steps;
    private final Sink sink;

    /** Two rules may name the same instance. */
    private final Set<Span> seen = new HashSet<>();

    private record Span(long from, long to) {}

    private Expansion(MaintenanceEvent event, long from, long to, Steps steps, Sink sink) {
        this.event = event;
        this.from = from;
        this.to = to;
        this.steps = steps;
        this.sink = sink;
    }

    static void of(MaintenanceEvent event, long from, long to, Steps steps, Sink sink) {
        Expansion e = new Expansion(event, from, to, steps, sink);
        // The first is an instance whether the rule names it or not.
        e.instance(event.start(), event.length(), event.line(), "DTSTART");
        event.rules().forEach(e::rule);
        for (Extra extra : event.extras()) {
            e.instance(extra.start(), extra.length(), extra.line(), "RDATE");
        }
    }

    private void rule(Recurrence rule) {
        steps.rule(rule.line());
        ZonedTime first = event.start();
        LocalDateTime begin = rule.firstPeriod(first.local());
        Period period = new Period(rule, first.local());
        // Local times grow, their instants need not: one that a gap puts on may lie after the next.
        // So a little
        // further.
        LocalDateTime last =
                LocalTimes.local(Math.min(to, rule.untilMillis()), first.zone())
                        .plusDays(ZONE_DAYS);
        long index = 0;
        if (rule.count() == 0) {
            long lasts =
                    event.length().days() + event.length().millis() / 86_400_000 + ZONE_DAYS + 1;
            // One period earlier: the one before may end within.
            index =
                    Math.max(
                            0,
                            rule.periodsUpTo(
                                            begin,
                                            LocalTimes.local(from, first.zone()).minusDays(lasts))
                                    - 1);
        }
        int left = rule.count() == 0 ? Integer.MAX_VALUE : rule.count() - 1;
        for (; ; index++) {
            LocalDateTime at = rule.period(begin, index);
            if (at.isAfter(last)) {
                return;
            }
            for (LocalDateTime time : period.times(at, first.local(), steps)) {
                if (!time.isAfter(first.local())) {
                    continue;
                }
                ZonedTime when = new ZonedTime(time, first.zone());
                if (when.millis() > rule.untilMillis()) {
                    continue;
                }
                if (left-- <= 0) {
                    return;
                }
                instance(when, event.length(), rule.line(), "RRULE");
            }
        }
    }

    private void instance(ZonedTime start, EventDuration length, int line, String property) {
        long begin = start.millis();
        if (begin >= to || event.without().contains(begin)) {
            return;
        }
        long end = length.end(start);
        if (end > from && end > begin && seen.add(new Span(begin, end))) {
            steps.occurrence(line, property);
            sink.span(begin, end);
        }
    }
}

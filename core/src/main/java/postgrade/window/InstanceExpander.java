package postgrade.window;

import java.time.LocalDateTime;
import java.util.HashSet;
import java.util.Set;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.ExtraInstance;
import postgrade.window.MaintenanceEvent.ZonedTime;

/** Computes every instance of an event that overlaps an interval. */
final class InstanceExpander {

    /** Exceeds the largest change of offset that any zone has ever made. */
    private static final int ZONE_MARGIN_DAYS = 3;

    interface InstanceSink {
        void accept(long from, long to);
    }

    private final MaintenanceEvent event;
    private final long from;
    private final long to;
    private final ExpansionBudget budget;
    private final InstanceSink sink;

    /** Instances already reported; two rules may produce the same one. */
    private final Set<Instance> seen = new HashSet<>();

    private record Instance(long from, long to) {}

    private InstanceExpander(
            MaintenanceEvent event, long from, long to, ExpansionBudget budget, InstanceSink sink) {
        this.event = event;
        this.from = from;
        this.to = to;
        this.budget = budget;
        this.sink = sink;
    }

    static void expand(
            MaintenanceEvent event, long from, long to, ExpansionBudget budget, InstanceSink sink) {
        InstanceExpander expander = new InstanceExpander(event, from, to, budget, sink);
        // DTSTART is an instance whether the rule matches it or not.
        expander.addInstance(event.start(), event.duration(), event.line(), "DTSTART");
        event.rules().forEach(expander::expandRule);
        for (ExtraInstance extra : event.extras()) {
            expander.addInstance(extra.start(), extra.duration(), extra.line(), "RDATE");
        }
    }

    private void expandRule(Recurrence rule) {
        budget.startRule(rule.line());
        ZonedTime first = event.start();
        LocalDateTime firstPeriodStart = rule.firstPeriodStart(first.local());
        RecurrencePeriod period = new RecurrencePeriod(rule, first.local());
        // Local times increase but their instants need not: a local time in a gap is moved forward
        // and may lie after the next one. The loop therefore continues for a margin beyond the end.
        LocalDateTime lastStart =
                LocalTimes.toLocal(Math.min(to, rule.untilMillis()), first.zone())
                        .plusDays(ZONE_MARGIN_DAYS);
        long index = 0;
        if (rule.count() == 0) {
            long maxInstanceDays =
                    event.duration().days()
                            + event.duration().millis() / 86_400_000
                            + ZONE_MARGIN_DAYS
                            + 1;
            // Starts one period earlier, since an instance of the period before may end within.
            index =
                    Math.max(
                            0,
                            rule.periodsBetween(
                                            firstPeriodStart,
                                            LocalTimes.toLocal(from, first.zone())
                                                    .minusDays(maxInstanceDays))
                                    - 1);
        }
        int remaining = rule.count() == 0 ? Integer.MAX_VALUE : rule.count() - 1;
        for (; ; index++) {
            LocalDateTime periodStart = rule.periodStart(firstPeriodStart, index);
            if (periodStart.isAfter(lastStart)) {
                return;
            }
            for (LocalDateTime time : period.times(periodStart, first.local(), budget)) {
                if (!time.isAfter(first.local())) {
                    continue;
                }
                ZonedTime start = new ZonedTime(time, first.zone());
                if (start.toEpochMillis() > rule.untilMillis()) {
                    continue;
                }
                if (remaining-- <= 0) {
                    return;
                }
                addInstance(start, event.duration(), rule.line(), "RRULE");
            }
        }
    }

    private void addInstance(ZonedTime start, EventDuration duration, int line, String property) {
        long begin = start.toEpochMillis();
        if (begin >= to || event.excludedStarts().contains(begin)) {
            return;
        }
        long end = duration.endOf(start);
        if (end > from && end > begin && seen.add(new Instance(begin, end))) {
            budget.countOccurrence(line, property);
            sink.accept(begin, end);
        }
    }
}

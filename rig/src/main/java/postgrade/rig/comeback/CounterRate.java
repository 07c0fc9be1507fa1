package postgrade.rig.comeback;

import java.util.List;
import postgrade.rig.history.History;

/**
 * Rates of a monotonic counter that is sampled from time to time: the mean rate over a span and the
 * peak over about one second.
 */
final class CounterRate {

    private static final long SECOND_MICROS = 1_000_000;

    private final List<History.Event> samples;
    private final String field;

    CounterRate(List<History.Event> samples, String field) {
        this.samples = samples;
        this.field = field;
    }

    /** Rate between the first and the last sample within the span. */
    double perSecond(long from, long to) {
        History.Event first = null;
        History.Event last = null;
        for (History.Event e : samples) {
            if (e.micros() >= from && e.micros() <= to) {
                first = first == null ? e : first;
                last = e;
            }
        }
        return first == null || last.micros() == first.micros()
                ? 0
                : (last.number(field) - first.number(field))
                        * (double) SECOND_MICROS
                        / (last.micros() - first.micros());
    }

    double peakPerSecond(long from, long to) {
        double most = 0;
        for (History.Event e : samples) {
            if (e.micros() >= from && e.micros() + SECOND_MICROS <= to) {
                most = Math.max(most, perSecond(e.micros(), e.micros() + SECOND_MICROS));
            }
        }
        return most;
    }
}

package postgrade.rig.comeback;

import java.util.Arrays;
import java.util.List;

/** Rates of events: the mean rate over a span and the peak within one second. */
final class EventRate {

    private static final long SECOND_MICROS = 1_000_000;

    private final long[] timesMicros;

    EventRate(List<Long> micros) {
        timesMicros = micros.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    private int countBefore(long micros) {
        int at = Arrays.binarySearch(timesMicros, micros);
        if (at < 0) {
            return -at - 1;
        }
        while (at > 0 && timesMicros[at - 1] == micros) {
            at--;
        }
        return at;
    }

    double perSecond(long from, long to) {
        return (countBefore(to) - countBefore(from))
                * (double) SECOND_MICROS
                / Math.max(1, to - from);
    }

    /** Greatest number of events in any second that begins within the span. */
    int peakPerSecond(long from, long to) {
        int most = 0;
        for (int i = countBefore(from); i < countBefore(to); i++) {
            most = Math.max(most, countBefore(Math.min(to, timesMicros[i] + SECOND_MICROS)) - i);
        }
        return most;
    }
}

package postgrade.daemon;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Start times of the workers' processes on this process's monotonic clock. Discovery reports them
 * in Unix time, and this machine's wall clock may have been stepped before this process started, by
 * seconds or by an hour. Uncorrected, such a clock makes a worker in slow start count as warm, or
 * keeps a warm worker in slow start.
 *
 * <p>Start times are therefore bounded by what is known without the wall clock. A worker has not
 * started after it was first reported, and one that is reported in a change has not started long
 * before the last contact with discovery. A list read at the start of this process gives no such
 * lower bound. The time first determined for a start is kept when the same start is reported again.
 *
 * <p>Holds times only; used on the event loop's thread.
 */
final class WorkerStartTimes {

    /**
     * Discovery reports a change at most this long after it learns of it, while there is contact.
     */
    static final long MAX_NOTICE_DELAY_MICROS = 6_000_000;

    /** Value of {@code previousContactMicros} if there was no earlier contact. */
    static final long NO_EARLIER_CONTACT = -1;

    /** Bounds the memory in case discovery keeps listing new workers. */
    private static final int MAX_REMEMBERED = 10_000;

    private record Start(long unixMillis, long micros) {}

    private final Clock clock;
    private final Map<String, Start> starts =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
                    return size() > MAX_REMEMBERED;
                }
            };

    WorkerStartTimes(Clock clock) {
        this.clock = clock;
    }

    /**
     * Returns the start time of a worker.
     *
     * @param unixMillis as reported by discovery, 0 if long ago
     * @param nowMicros on the monotonic clock
     * @param previousContactMicros time of the last contact with discovery before the change that
     *     reports this start, or {@link #NO_EARLIER_CONTACT}
     * @return microseconds of the monotonic clock, 0 if long ago
     */
    long micros(String workerId, long unixMillis, long nowMicros, long previousContactMicros) {
        if (unixMillis == 0) {
            return 0;
        }
        Start known = starts.get(workerId);
        if (known == null || known.unixMillis() != unixMillis) {
            known = new Start(unixMillis, bounded(unixMillis, nowMicros, previousContactMicros));
            starts.put(workerId, known);
        }
        return known.micros();
    }

    private long bounded(long unixMillis, long nowMicros, long previousContactMicros) {
        long earliestMicros =
                previousContactMicros == NO_EARLIER_CONTACT
                        ? 0
                        : previousContactMicros - MAX_NOTICE_DELAY_MICROS;
        long byWallClock = clock.fromUnixMillis(unixMillis);
        return Math.min(nowMicros, Math.max(earliestMicros, byWallClock));
    }
}

package postgrade.daemon;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When each worker's process started, on this process's monotonic clock. Discovery tells starts in
 * Unix time, and this machine's wall clock may have been stepped before the process began, by
 * seconds or by an hour. Taken at its word, such a clock makes a worker in slow start pass as warm,
 * or one that is warm never become so.
 *
 * <p>So a start is held against what is known without the wall clock: it does not lie ahead of the
 * moment in which it is first told, and one that a change tells does not lie far before discovery
 * was last heard. A list that is taken in at the start of this process has no such bound from
 * below. What is found of a start stays, however often it is told again.
 *
 * <p>It knows times alone and is used on the loop's thread.
 */
final class WorkerStartTimes {

    /**
     * A change is told this long after discovery had it at the latest, while discovery is heard.
     */
    static final long MAX_NOTICE_DELAY_MICROS = 6_000_000;

    /** {@code heardBeforeMicros} where nothing was heard before. */
    static final long NO_EARLIER_CONTACT = -1;

    /** Guards the memory against a discovery that names ever new workers. */
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
     * @param unixMillis as discovery tells it, 0 for long ago
     * @param nowMicros on the monotonic clock
     * @param heardBeforeMicros when discovery was last heard before the change that tells this, or
     *     {@link #NO_EARLIER_CONTACT}
     * @return microseconds of the monotonic clock, 0 for long ago
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

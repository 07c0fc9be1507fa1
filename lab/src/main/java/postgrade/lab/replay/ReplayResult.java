package postgrade.lab.replay;

import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What a replay came to, counted as it went. */
public final class ReplayResult {
    /**
     * Requests handed to connections, and those that were not since there was no place or no
     * connection.
     */
    public final LongAdder sent = new LongAdder();

    public final LongAdder unsent = new LongAdder();
    public final LongAdder served = new LongAdder();
    public final LongAdder refused = new LongAdder();
    public final LongAdder failed = new LongAdder();
    public final LongAdder gaveUp = new LongAdder();
    public final LongAdder broken = new LongAdder();

    /** Recorded retries that the replay did not call for. */
    public long retriesNotCalledFor;

    /**
     * Jobs of a class that must not run twice that may have gone out before a resume, and so were
     * left out.
     */
    public long skippedOnResume;

    /** Requests that left more than 1 ms after their time. */
    public final LongAdder late = new LongAdder();

    /** From the intended time to the time of leaving, in microseconds. */
    public final Histogram lateness = new ConcurrentHistogram(3_600_000_000L, 3);

    /** From the intended time to the answer's last byte, in microseconds, of those served. */
    public final Histogram latency = new ConcurrentHistogram(3_600_000_000L, 3);

    public long startMicros;
    public long endMicros;

    /** Seconds from the first intended time to the last answer. */
    public double seconds() {
        return (endMicros - startMicros) / 1e6;
    }
}

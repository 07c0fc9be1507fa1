package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/**
 * Worker start times, given in true Unix time to a process whose wall clock was stepped before it
 * began.
 */
public class WorkerStartTimesTest {

    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;
    private static final long TOLERANCE = SECOND;

    private final long trueUnixMillis = System.currentTimeMillis();
    private long nowMicros;

    private WorkerStartTimes withWallClockOffBy(long micros) throws Config.InvalidConfigException {
        Clock clock = Clock.of(micros + ",0");
        nowMicros = clock.micros();
        return new WorkerStartTimes(clock);
    }

    private long startedAgo(long micros) {
        return trueUnixMillis - micros / 1000;
    }

    @Test
    public void accurateClockKeepsTheStartTime() throws Exception {
        WorkerStartTimes times = withWallClockOffBy(0);
        assertEquals(
                nowMicros - 5 * SECOND,
                times.micros("w", startedAgo(5 * SECOND), nowMicros, nowMicros - SECOND),
                TOLERANCE);
        assertEquals(
                nowMicros - HOUR,
                times.micros("v", startedAgo(HOUR), nowMicros, WorkerStartTimes.NO_EARLIER_CONTACT),
                TOLERANCE);
        assertEquals(0, times.micros("u", 0, nowMicros, nowMicros));
    }

    /** Guards against taking a worker in slow start as warm. */
    @Test
    public void clockAnHourAheadTreatsAChangedStartAsRecent() throws Exception {
        WorkerStartTimes times = withWallClockOffBy(HOUR);
        long previouslyHeard = nowMicros - 2 * SECOND;
        long started = times.micros("w", startedAgo(SECOND), nowMicros, previouslyHeard);
        assertTrue(nowMicros - started <= 2 * SECOND + WorkerStartTimes.MAX_NOTICE_DELAY_MICROS);
    }

    /** Guards against taking a warm worker as cold for an hour. */
    @Test
    public void clockAnHourBehindCapsTheStartAtItsFirstReport() throws Exception {
        WorkerStartTimes times = withWallClockOffBy(-HOUR);
        assertEquals(
                nowMicros,
                times.micros(
                        "w", startedAgo(SECOND), nowMicros, WorkerStartTimes.NO_EARLIER_CONTACT));
        assertEquals(
                "reported again",
                nowMicros,
                times.micros(
                        "w", startedAgo(SECOND), nowMicros + 30 * SECOND, nowMicros + 29 * SECOND));
    }

    @Test
    public void restartUnderTheSameNameGetsItsOwnStartTime() throws Exception {
        WorkerStartTimes times = withWallClockOffBy(0);
        times.micros("w", startedAgo(HOUR), nowMicros, WorkerStartTimes.NO_EARLIER_CONTACT);
        long again = times.micros("w", startedAgo(SECOND), nowMicros, nowMicros - SECOND);
        assertEquals(nowMicros - SECOND, again, TOLERANCE);
    }
}

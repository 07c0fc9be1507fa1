package postgrade.window;

import java.time.LocalTime;
import java.time.zone.ZoneRules;

/**
 * By when a job must have ended: an instant, or the next time clocks somewhere come to a time of
 * day.
 */
public sealed interface Deadline {

    /**
     * Fixed when the job comes, with its earliest start, else a daily deadline would move on as it
     * passes.
     */
    long resolveMillis(long earliest);

    Deadline NONE = new Fixed(Long.MAX_VALUE);

    record Fixed(long time) implements Deadline {
        @Override
        public long resolveMillis(long earliest) {
            return time;
        }
    }

    /** Such as 18:00 Europe/Zagreb. */
    record Daily(LocalTime time, ZoneRules zone) implements Deadline {
        @Override
        public long resolveMillis(long earliest) {
            return LocalTimes.next(time, zone, earliest);
        }
    }
}

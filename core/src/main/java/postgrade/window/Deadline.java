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
    long resolveMillis(long earliestStart);

    Deadline NONE = new Fixed(Long.MAX_VALUE);

    record Fixed(long instantMillis) implements Deadline {
        @Override
        public long resolveMillis(long earliestStart) {
            return instantMillis;
        }
    }

    /** Such as 18:00 Europe/Zagreb. */
    record Daily(LocalTime timeOfDay, ZoneRules zone) implements Deadline {
        @Override
        public long resolveMillis(long earliestStart) {
            return LocalTimes.nextOccurrence(timeOfDay, zone, earliestStart);
        }
    }
}

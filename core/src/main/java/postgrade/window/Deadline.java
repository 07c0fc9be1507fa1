package postgrade.window;

import java.time.LocalTime;
import java.time.zone.ZoneRules;

/**
 * The time by which a job must have ended: an instant, or the next time at which clocks in a zone
 * reach a time of day.
 */
public sealed interface Deadline {

    /**
     * Resolves the deadline to an instant, from the earliest start, once when the job arrives:
     * resolved again later, a daily deadline would move to the next day once it has passed.
     */
    long resolveMillis(long earliestStart);

    Deadline NONE = new Fixed(Long.MAX_VALUE);

    record Fixed(long instantMillis) implements Deadline {
        @Override
        public long resolveMillis(long earliestStart) {
            return instantMillis;
        }
    }

    /** A daily deadline, such as 18:00 Europe/Zagreb. */
    record Daily(LocalTime timeOfDay, ZoneRules zone) implements Deadline {
        @Override
        public long resolveMillis(long earliestStart) {
            return LocalTimes.nextOccurrence(timeOfDay, zone, earliestStart);
        }
    }
}

package postgrade.load.source;

import java.time.ZoneId;

/** The hours that clocks pass twice when summer time ends. */
public final class Folds {

    private Folds() {}

    /**
     * By how much the second passing of a local time comes later than its first; 0 for a time that
     * comes once.
     */
    public static long micros(long unixMicros, ZoneId zone) {
        return Stamps.foldMicros(unixMicros, zone);
    }
}

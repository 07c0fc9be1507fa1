package postgrade.calendar.oracle;

import java.time.DayOfWeek;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;

/**
 * A generated case: plain fields that the oracle reads, rendered as text for the implementation.
 */
final class GeneratedCase {

    enum Freq {
        SECONDLY,
        MINUTELY,
        HOURLY,
        DAILY,
        WEEKLY,
        MONTHLY,
        YEARLY
    }

    /**
     * A local time or date with its zone.
     *
     * @param zone null for floating times and dates
     */
    record LocalStamp(LocalDateTime local, String zoneId, ReferenceZone zone, boolean date) {}

    /** The parts of a rule; empty where absent. */
    static final class Rule {
        Freq freq;
        int interval = 1;
        int count;
        LocalStamp until;
        DayOfWeek weekStart = DayOfWeek.MONDAY;
        List<Integer> month = new ArrayList<>();
        List<Integer> weekNo = new ArrayList<>();
        List<Integer> yearDay = new ArrayList<>();
        List<Integer> monthDay = new ArrayList<>();
        List<int[]> day = new ArrayList<>();
        List<Integer> hour = new ArrayList<>();
        List<Integer> minute = new ArrayList<>();
        List<Integer> second = new ArrayList<>();
        List<Integer> setPos = new ArrayList<>();
    }

    static final class Maintenance {
        LocalStamp start;
        int days;
        long seconds;
        boolean statesEnd;
        Rule rule;
        List<LocalStamp> extra = new ArrayList<>();
        List<LocalStamp> excluded = new ArrayList<>();

        /**
         * Moved instances: each pair holds the original and the new start; the new length is in
         * seconds.
         */
        List<LocalStamp[]> moved = new ArrayList<>();

        long movedSeconds;
    }

    String siteZone;

    /**
     * The zone that the calendar defines, or null: its standard and summer offsets in seconds and
     * when they begin.
     */
    int[] ownZone;

    List<Maintenance> events = new ArrayList<>();
    long from;
    long to;
    long now;
    long earliestStart;
    long deadline;
    long durationMillis;
    long clockErrorMillis;

    String text() {
        return CalendarWriter.of(this);
    }
}

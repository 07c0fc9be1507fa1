package postgrade.window;

/**
 * How much work a calendar may make, so that a faulty one costs milliseconds and not the process.
 */
public final class Steps {

    public static final int MOST_STEPS = 5_000_000;
    public static final int MOST_STEPS_OF_A_RULE = 1_000_000;
    public static final int MOST_OCCURRENCES = 100_000;

    private int left = MOST_STEPS;
    private int leftOfRule = MOST_STEPS_OF_A_RULE;
    private int occurrences = MOST_OCCURRENCES;
    private int line;

    /** What follows is the work of this line. */
    void rule(int ofLine) {
        line = ofLine;
        leftOfRule = MOST_STEPS_OF_A_RULE;
    }

    void take(int steps) {
        left -= steps;
        leftOfRule -= steps;
        if (leftOfRule < 0) {
            throw new InvalidCalendarException(
                    line,
                    "RRULE",
                    "takes more than " + MOST_STEPS_OF_A_RULE + " steps to work out");
        }
        if (left < 0) {
            throw new InvalidCalendarException(
                    line, "RRULE", "brings the calendar over " + MOST_STEPS + " steps to work out");
        }
    }

    void occurrence(int ofLine, String property) {
        if (--occurrences < 0) {
            throw new InvalidCalendarException(
                    ofLine,
                    property,
                    "brings the calendar over " + MOST_OCCURRENCES + " occurrences");
        }
    }
}

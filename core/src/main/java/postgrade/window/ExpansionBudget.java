package postgrade.window;

/**
 * Bounds the work that one calendar may cause, so that a faulty one costs milliseconds and does not
 * block the process.
 */
public final class ExpansionBudget {

    public static final int MAX_STEPS = 5_000_000;
    public static final int MAX_STEPS_PER_RULE = 1_000_000;
    public static final int MAX_OCCURRENCES = 100_000;

    private int remainingSteps = MAX_STEPS;
    private int remainingRuleSteps = MAX_STEPS_PER_RULE;
    private int remainingOccurrences = MAX_OCCURRENCES;
    private int ruleLine;

    /** Starts the budget of the rule at this line; the steps that follow are charged to it. */
    void startRule(int line) {
        ruleLine = line;
        remainingRuleSteps = MAX_STEPS_PER_RULE;
    }

    void spend(int steps) {
        remainingSteps -= steps;
        remainingRuleSteps -= steps;
        if (remainingRuleSteps < 0) {
            throw new InvalidCalendarException(
                    ruleLine,
                    "RRULE",
                    "takes more than " + MAX_STEPS_PER_RULE + " steps to work out");
        }
        if (remainingSteps < 0) {
            throw new InvalidCalendarException(
                    ruleLine,
                    "RRULE",
                    "brings the calendar over " + MAX_STEPS + " steps to work out");
        }
    }

    void countOccurrence(int line, String property) {
        if (--remainingOccurrences < 0) {
            throw new InvalidCalendarException(
                    line, property, "brings the calendar over " + MAX_OCCURRENCES + " occurrences");
        }
    }
}

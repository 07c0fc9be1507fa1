package postgrade.quorum.follow;

import postgrade.quorum.engine.Faults;

/**
 * Which era a process takes answers from: the latest that it has heard of, and of that one log
 * only. Written and read on the follow thread.
 */
public final class Eras {

    private final Faults faults;
    private long era;
    private String group = "";

    public Eras(Faults faults) {
        this.faults = faults;
    }

    long era() {
        return era;
    }

    String group() {
        return group;
    }

    /** Whether an answer of that log counts; says so where it cannot. */
    boolean takes(String from, String answered) {
        long answeredEra = of(answered);
        if (answeredEra < era) {
            faults.set(from + " is still in era " + answeredEra + ", era " + era + " has begun");
            return false;
        }
        if (answeredEra == era && !answered.equals(group)) {
            faults.set("two eras " + era + " at once: " + from + " is in another");
            return false;
        }
        era = answeredEra;
        group = answered;
        return true;
    }

    /** The era by a log's name. */
    public static long of(String group) {
        int at = group.indexOf('-');
        try {
            return at <= 0 ? 0 : Long.parseLong(group.substring(0, at));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}

package postgrade.quorum.follow;

import postgrade.quorum.engine.FaultStatus;

/**
 * Which era a process takes answers from: the latest that it has heard of, and of that one log
 * only. Written and read on the follow thread.
 */
public final class CurrentEra {

    private final FaultStatus faultStatus;
    private long era;
    private String group = "";

    public CurrentEra(FaultStatus faultStatus) {
        this.faultStatus = faultStatus;
    }

    long era() {
        return era;
    }

    String group() {
        return group;
    }

    /** Whether an answer of that log counts; says so where it cannot. */
    boolean accept(String voter, String answeredGroup) {
        long answeredEra = eraOf(answeredGroup);
        if (answeredEra < era) {
            faultStatus.set(
                    voter + " is still in era " + answeredEra + ", era " + era + " has begun");
            return false;
        }
        if (answeredEra == era && !answeredGroup.equals(group)) {
            faultStatus.set("two eras " + era + " at once: " + voter + " is in another");
            return false;
        }
        era = answeredEra;
        group = answeredGroup;
        return true;
    }

    /** The era by a log's name. */
    public static long eraOf(String group) {
        int separator = group.indexOf('-');
        try {
            return separator <= 0 ? 0 : Long.parseLong(group.substring(0, separator));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}

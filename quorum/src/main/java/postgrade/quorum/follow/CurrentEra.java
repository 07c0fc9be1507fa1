package postgrade.quorum.follow;

import postgrade.quorum.engine.FaultStatus;

/**
 * The era and log from which a process accepts answers: the latest era it has seen, and only one
 * log of that era. Used on the follower thread.
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

    /**
     * Whether an answer of that log is accepted; reports a fault if it is from an earlier era or
     * from another log of the same era.
     */
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

    /** Returns the era that a log's name begins with, or 0 if the name is malformed. */
    public static long eraOf(String group) {
        int separator = group.indexOf('-');
        try {
            return separator <= 0 ? 0 : Long.parseLong(group.substring(0, separator));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}

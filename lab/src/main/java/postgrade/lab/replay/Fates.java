package postgrade.lab.replay;

import java.util.LinkedHashMap;
import java.util.Map;

/** What became of the tries that others may retry. Bounded: retries come soon or not at all. */
final class Fates {

    private static final int MOST = 200_000;

    /** How a try ended, as far as a client's decision to try again goes. */
    enum Fate {
        UNDER_WAY,
        SERVED,
        /** Refused: trying again is harmless. */
        REFUSED,
        /** Failed, given up or broken: it may have run. */
        FAILED,
        /** It never left. */
        UNSENT
    }

    private final Map<String, Fate> byChain =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Fate> eldest) {
                    return size() > MOST;
                }
            };

    private static String chain(long firstTry, int copy) {
        return firstTry + "." + copy;
    }

    private static long first(Try t) {
        return t.job.firstTry() == 0 ? t.job.number() : t.job.firstTry();
    }

    synchronized void set(Try t, Fate fate) {
        byChain.put(chain(first(t), t.copy), fate);
    }

    /**
     * Whether a retry is called for: its chain's latest try failed, and may be tried again. Of what
     * must not run twice only a refusal or a try that never left calls for one.
     */
    synchronized boolean callsForRetry(long firstTry, int copy, boolean neverTwice) {
        Fate fate = byChain.get(chain(firstTry, copy));
        return fate == Fate.REFUSED || fate == Fate.UNSENT || fate == Fate.FAILED && !neverTwice;
    }
}

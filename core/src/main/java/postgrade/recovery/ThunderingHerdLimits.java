package postgrade.recovery;

/**
 * Bounds for a time in which most come back at once: whatever loads others is done at most so many
 * times as often as when nothing happens, over all processes together. Each keeps to its own part,
 * from the number that live and its own place among all, so that nothing needs to be agreed.
 *
 * @param multiple of the steady rates
 * @param places how many processes there are when all live
 * @param place of this one among them, from 0
 */
public record ThunderingHerdLimits(
        SteadyRates steady, double multiple, int processCount, int processIndex) {

    /** What loads others: discovery, the quorum, and each worker. */
    public enum LoadKind {
        LIST,
        PULL,
        CONNECT,
        COLD_SEND,
        PROBE
    }

    /**
     * Rates of a second when nothing happens, of all processes together; the last three for each
     * worker.
     */
    public record SteadyRates(
            double lists, double pulls, double connects, double coldSends, double probes) {
        public SteadyRates {
            for (double d : new double[] {lists, pulls, connects, coldSends, probes}) {
                if (!(d >= 0) || Double.isInfinite(d)) {
                    throw new IllegalArgumentException("steady rates must be numbers of 0 or more");
                }
            }
        }

        double of(LoadKind kind) {
            return switch (kind) {
                case LIST -> lists;
                case PULL -> pulls;
                case CONNECT -> connects;
                case COLD_SEND -> coldSends;
                case PROBE -> probes;
            };
        }
    }

    public ThunderingHerdLimits {
        if (!(multiple >= 1)
                || processCount < 1
                || processIndex < 0
                || processIndex >= processCount) {
            throw new IllegalArgumentException(
                    "multiple must be at least 1, place lie from 0 to below places");
        }
    }

    /**
     * This process's part, a second. While nobody knows who lives, all count as alive.
     *
     * @param alive as the view tells, 0 where it does not
     */
    public double perSecond(LoadKind kind, int alive) {
        int sharingProcesses = alive < 1 || alive > processCount ? processCount : alive;
        return multiple * steady.of(kind) / sharingProcesses;
    }

    /** The most that all together do of it within such a time, whatever happens. */
    public double maxWithin(LoadKind kind, long withinMicros) {
        return multiple * steady.of(kind) * withinMicros / 1e6 + processCount;
    }

    /** Begins closed by the process's own phase, so that all begin one after another. */
    public Pacer pacer(long nowMicros, LoadKind kind, int alive) {
        return pacer(nowMicros, kind, alive, "");
    }

    /**
     * @param worker another order for each worker, so that they are not all called on in the same
     *     one, nor two at once
     */
    public Pacer pacer(long nowMicros, LoadKind kind, int alive, String worker) {
        int slot = Math.floorMod(processIndex + worker.hashCode(), processCount);
        return new Pacer(
                nowMicros,
                perSecond(kind, alive),
                (slot + (worker.isEmpty() ? 0.5 : RetryAfterSpread.uniformHash(worker, 1)))
                        / processCount);
    }
}

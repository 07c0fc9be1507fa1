package postgrade.recovery;

/**
 * Limits for a time in which most processes restart or reconnect at once: each kind of load on
 * others stays within a multiple of its steady rate, over all processes together. Each process
 * keeps to its own part, which follows from the number of live members and its index, so no
 * coordination is needed.
 *
 * @param multiple of the steady rates
 * @param processCount number of processes when all are live
 * @param processIndex of this one among them, from 0
 */
public record ThunderingHerdLimits(
        SteadyRates steady, double multiple, int processCount, int processIndex) {

    /** The kinds of load on others: on discovery, on the quorum and on each worker. */
    public enum LoadKind {
        LIST,
        PULL,
        CONNECT,
        COLD_SEND,
        PROBE
    }

    /**
     * Rates per second in normal operation, of all processes together; the last three are per
     * worker.
     */
    public record SteadyRates(
            double lists, double pulls, double connects, double coldSends, double probes) {
        public SteadyRates {
            for (double d : new double[] {lists, pulls, connects, coldSends, probes}) {
                if (!(d >= 0) || Double.isInfinite(d)) {
                    throw new IllegalArgumentException(
                            "steady rates must be finite and not negative");
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
                    "multiple must be at least 1 and processIndex in [0, processCount)");
        }
    }

    /**
     * This process's part, per second. All processes count as live while their number is unknown.
     *
     * @param alive number of live members by the view, 0 if unknown
     */
    public double perSecond(LoadKind kind, int alive) {
        int sharingProcesses = alive < 1 || alive > processCount ? processCount : alive;
        return multiple * steady.of(kind) / sharingProcesses;
    }

    /** Upper bound for all processes together within such a time, in any case. */
    public double maxWithin(LoadKind kind, long withinMicros) {
        return multiple * steady.of(kind) * withinMicros / 1e6 + processCount;
    }

    /**
     * The first permit is delayed by the process's own phase, so that processes start one after
     * another.
     */
    public Pacer pacer(long nowMicros, LoadKind kind, int alive) {
        return pacer(nowMicros, kind, alive, "");
    }

    /**
     * A pacer for the load on one worker.
     *
     * @param worker gives each worker a different order of processes, so that a process does not
     *     contact all workers in the same order or at the same moment
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

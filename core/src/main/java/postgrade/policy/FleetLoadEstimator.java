package postgrade.policy;

/**
 * Estimates how much of the fleet the jobs of all dispatchers occupy: from load reports where
 * workers send them, else by assuming that every other dispatcher holds as much as this one, or
 * less while few of this one's jobs wait.
 */
final class FleetLoadEstimator {

    /**
     * Bound on the load of the fleet, as a multiple of the load that the tenants' quotas amount to.
     */
    private static final double MAX_LOAD_PER_QUOTA = 1.3;

    /** A start report that arrives later than this round trip shows that the job was queued. */
    static final long ROUND_TRIP_NS = 40_000_000L;

    /**
     * Share of queued jobs that is usual. While fewer of this dispatcher's jobs are queued, the
     * others are assumed to hold less: they may be restarting or have little traffic.
     */
    private static final double USUAL_QUEUED_SHARE = 0.25;

    private static final double OTHERS_SMOOTHING_RATE = 0.01;

    private final PolicyContext context;
    private final JobClassTable classes;
    private final RateLimiter rateLimiter;
    private final DecayingSum servedSlotSeconds = new DecayingSum();
    private boolean hasLoadReports;
    private double usualFreeShare = 1;
    private double othersLoadFactor = 1;

    FleetLoadEstimator(PolicyContext context, JobClassTable classes, RateLimiter rateLimiter) {
        this.context = context;
        this.classes = classes;
        this.rateLimiter = rateLimiter;
    }

    /** Whether any worker has reported its load. */
    boolean hasLoadReports() {
        return hasLoadReports;
    }

    /** Returns the share of the fleet that the other dispatchers' jobs usually leave free. */
    double usualFreeShare() {
        return usualFreeShare;
    }

    /** Records the share of a worker that, by its report, other dispatchers' jobs leave free. */
    void recordReport(double freeShare) {
        hasLoadReports = true;
        usualFreeShare = Smoothing.next(usualFreeShare, Math.min(1, freeShare));
    }

    /** Records the time between the sending and the start of a job. */
    void recordStartDelay(long delayNs) {
        double queued = delayNs > ROUND_TRIP_NS ? 1 : 0;
        double next = othersLoadFactor + OTHERS_SMOOTHING_RATE * (queued / USUAL_QUEUED_SHARE - 1);
        othersLoadFactor = Math.max(0, Math.min(1, next));
    }

    void recordServed(long nowNs, double slotSeconds) {
        servedSlotSeconds.add(nowNs, slotSeconds);
    }

    /**
     * Updates the usual free share if no worker reports its load.
     *
     * @param fleetSlots the slots of all ready workers
     */
    void estimateWithoutReports(long nowNs, double fleetSlots) {
        if (!hasLoadReports && fleetSlots > 0) {
            int otherDispatchers = context.settings().dispatcherCount - 1;
            double othersLoad = othersLoadFactor * otherDispatchers * ownLoad(nowNs);
            usualFreeShare = Math.max(0, 1 - othersLoad / fleetSlots);
        }
    }

    /**
     * Returns the slots that this dispatcher's jobs fill on average, bounded by the tenants' quotas
     * at this dispatcher.
     */
    private double ownLoad(long nowNs) {
        double served = servedSlotSeconds.perSecond(nowNs);
        if (rateLimiter.totalRatePerS() <= 0) {
            return served;
        }
        double quotaLoad =
                MAX_LOAD_PER_QUOTA
                        * rateLimiter.totalRatePerS()
                        * classes.meanServiceTimeNs()
                        / 1e9;
        return Math.min(served, quotaLoad);
    }

    /**
     * Returns the slots of the whole fleet that jobs fill on average, assuming that each dispatcher
     * serves as much as this one.
     */
    double fleetLoad(long nowNs) {
        return ownLoad(nowNs) * context.settings().dispatcherCount;
    }

    void reset() {
        hasLoadReports = false;
        servedSlotSeconds.reset();
        usualFreeShare = 1;
        othersLoadFactor = 1;
    }

    /** Returns the state in the order that {@link #restore} reads. */
    double[] export() {
        return new double[] {usualFreeShare, othersLoadFactor};
    }

    void restore(double[] values) {
        usualFreeShare = values[0];
        othersLoadFactor = values[1];
    }
}

package postgrade.policy;

/**
 * Estimates how much of the fleet the jobs of all dispatchers occupy. Where workers report their
 * load it goes by that; else it takes the other dispatchers to hold as much as this one, less while
 * few of our jobs wait.
 */
final class FleetLoadEstimator {

    /**
     * The fleet does so many times the tenants' rates at most, so the other dispatchers hold no
     * more.
     */
    private static final double MAX_LOAD_PER_QUOTA = 1.3;

    /** A start report that takes longer than a round trip tells of a wait. */
    static final long ROUND_TRIP_NS = 40_000_000L;

    /**
     * While fewer of our jobs wait the others hold less: they may be restarting, or have little
     * traffic.
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

    /** The part of the fleet that is usually free of the other dispatchers' jobs. */
    double usualFreeShare() {
        return usualFreeShare;
    }

    /** A worker has reported that so large a part of it is free of others' jobs. */
    void recordReport(double freeShare) {
        hasLoadReports = true;
        usualFreeShare = Smoothing.next(usualFreeShare, Math.min(1, freeShare));
    }

    /** A job has started, so long after it was sent. */
    void recordStartDelay(long delayNs) {
        double waited = delayNs > ROUND_TRIP_NS ? 1 : 0;
        double moved = othersLoadFactor + OTHERS_SMOOTHING_RATE * (waited / USUAL_QUEUED_SHARE - 1);
        othersLoadFactor = Math.max(0, Math.min(1, moved));
    }

    void recordServed(long nowNs, double slotSeconds) {
        servedSlotSeconds.add(nowNs, slotSeconds);
    }

    /**
     * Reckons the usual free share anew where no worker reports.
     *
     * @param fleetSlots the slots of all ready workers
     */
    void estimateWithoutReports(long nowNs, double fleetSlots) {
        if (!hasLoadReports && fleetSlots > 0) {
            int others = context.settings().dispatcherCount - 1;
            double othersLoad = othersLoadFactor * others * ownLoad(nowNs);
            usualFreeShare = Math.max(0, 1 - othersLoad / fleetSlots);
        }
    }

    /**
     * The slots that this dispatcher's jobs fill on average, at most what the tenants' rates come
     * to here.
     */
    private double ownLoad(long nowNs) {
        double served = servedSlotSeconds.perSecond(nowNs);
        if (rateLimiter.totalRatePerS() <= 0) {
            return served;
        }
        double byRates =
                MAX_LOAD_PER_QUOTA
                        * rateLimiter.totalRatePerS()
                        * classes.meanServiceTimeNs()
                        / 1e9;
        return Math.min(served, byRates);
    }

    /**
     * The slots of the whole fleet that jobs fill on average, if each dispatcher does as much as
     * this one.
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

    /** Its state in the order that {@link #restore} reads. */
    double[] export() {
        return new double[] {usualFreeShare, othersLoadFactor};
    }

    void restore(double[] values) {
        usualFreeShare = values[0];
        othersLoadFactor = values[1];
    }
}

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
    private static final double MOST_OF_RATES = 1.3;

    /** A start report that takes longer than a round trip tells of a wait. */
    static final long ROUND_TRIP_NS = 40_000_000L;

    /**
     * While fewer of our jobs wait the others hold less: they may be restarting, or have little
     * traffic.
     */
    private static final double USUAL_WAITS = 0.25;

    private static final double OTHERS_RATE = 0.01;

    private final PolicyContext context;
    private final JobClassTable classes;
    private final RateLimiter rateLimiter;
    private final DecayingSum servedSlotSeconds = new DecayingSum();
    private boolean workersReport;
    private double usualFreeShare = 1;
    private double othersShare = 1;

    FleetLoadEstimator(PolicyContext context, JobClassTable classes, RateLimiter rateLimiter) {
        this.context = context;
        this.classes = classes;
        this.rateLimiter = rateLimiter;
    }

    /** Whether any worker has reported its load. */
    boolean workersReport() {
        return workersReport;
    }

    /** The part of the fleet that is usually free of the other dispatchers' jobs. */
    double usualFreeShare() {
        return usualFreeShare;
    }

    /** A worker has reported that so large a part of it is free of others' jobs. */
    void reported(double freeShare) {
        workersReport = true;
        usualFreeShare = Smoothing.next(usualFreeShare, Math.min(1, freeShare));
    }

    /** A job has started, so long after it was sent. */
    void jobStarted(long delayNs) {
        double waited = delayNs > ROUND_TRIP_NS ? 1 : 0;
        double moved = othersShare + OTHERS_RATE * (waited / USUAL_WAITS - 1);
        othersShare = Math.max(0, Math.min(1, moved));
    }

    void jobServed(long nowNs, double slotSeconds) {
        servedSlotSeconds.add(nowNs, slotSeconds);
    }

    /**
     * Reckons the usual free share anew where no worker reports.
     *
     * @param fleetSlots the slots of all ready workers
     */
    void updateWithoutReports(long nowNs, double fleetSlots) {
        if (!workersReport && fleetSlots > 0) {
            int others = context.settings().dispatcherCount - 1;
            double othersLoad = othersShare * others * ownLoad(nowNs);
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
                MOST_OF_RATES * rateLimiter.totalRatePerS() * classes.meanServiceTimeNs() / 1e9;
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
        workersReport = false;
        servedSlotSeconds.reset();
        usualFreeShare = 1;
        othersShare = 1;
    }

    /** Its state in the order that {@link #restore} reads. */
    double[] export() {
        return new double[] {usualFreeShare, othersShare};
    }

    void restore(double[] values) {
        usualFreeShare = values[0];
        othersShare = values[1];
    }
}

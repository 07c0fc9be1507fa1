package postgrade.sharing.progress;

import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.recovery.AdmissionRamp;
import postgrade.recovery.RecentDemand;
import postgrade.recovery.RetryAfterSpread;

/**
 * Admits as many jobs as the workers can serve while they are in slow start after a recovery, and
 * delays the rest with a spread of retry times.
 */
public final class RampAdmission implements JobConstraints {

    private static final double NANOS_PER_MICRO = 1e3;
    private static final long MIN_RETRY_AFTER_MICROS = 300_000;

    /** Even a few clients must not all retry at the same moment. */
    private static final long MIN_SPREAD_MICROS = 300_000;

    private static final long MAX_RETRY_AFTER_MICROS = 2_000_000;

    private final RecoveryProgress progress;
    private final LongSupplier nowMicros;
    private final DoubleSupplier ratePerS;
    private final long seed;
    private final RecentDemand demand = new RecentDemand();

    /**
     * Creates the admission control for one process.
     *
     * @param ratePerS the rate of jobs within all quotas at this process once everything is
     *     admitted
     */
    public RampAdmission(
            RecoveryProgress progress, LongSupplier nowMicros, DoubleSupplier ratePerS, long seed) {
        this.progress = progress;
        this.nowMicros = nowMicros;
        this.ratePerS = ratePerS;
        this.seed = seed;
    }

    @Override
    public long startDelayNs(long nowNs, Job job) {
        AdmissionRamp ramp = progress.ramp();
        long now = nowMicros.getAsLong();
        if (ramp == null || ramp.admittedShare(now) >= 1) {
            return 0;
        }
        boolean admitted = ramp.admits(now, job.id());
        demand.recordRequest(now, !admitted);
        return admitted
                ? 0
                : (long)
                        (RetryAfterSpread.retryAfterMicros(
                                        job.id(),
                                        seed,
                                        MIN_RETRY_AFTER_MICROS,
                                        Math.max(
                                                MIN_SPREAD_MICROS,
                                                demand.spreadMicros(ratePerS.getAsDouble())),
                                        MAX_RETRY_AFTER_MICROS)
                                * NANOS_PER_MICRO);
    }
}

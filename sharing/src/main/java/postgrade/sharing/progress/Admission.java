package postgrade.sharing.progress;

import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.recovery.AdmissionRamp;
import postgrade.recovery.RecentDemand;
import postgrade.recovery.RetryAfterSpread;

/**
 * While workers are cold after a return, takes in what they can do; the rest is told to come later,
 * spread out.
 */
public final class Admission implements JobConstraints {

    private static final double NANOS = 1e3;
    private static final long LEAST_MICROS = 300_000;

    /** Even a few callers do not come back in one moment. */
    private static final long LEAST_WIDTH_MICROS = 300_000;

    private static final long MOST_MICROS = 2_000_000;

    private final Progress progress;
    private final LongSupplier nowMicros;
    private final DoubleSupplier ratePerS;
    private final long seed;
    private final RecentDemand crowd = new RecentDemand();

    /**
     * @param ratePerS of jobs within all shares here, once all is admitted
     */
    public Admission(
            Progress progress, LongSupplier nowMicros, DoubleSupplier ratePerS, long seed) {
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
        crowd.recordRequest(now, !admitted);
        return admitted
                ? 0
                : (long)
                        (RetryAfterSpread.retryAfterMicros(
                                        job.id(),
                                        seed,
                                        LEAST_MICROS,
                                        Math.max(
                                                LEAST_WIDTH_MICROS,
                                                crowd.spreadMicros(ratePerS.getAsDouble())),
                                        MOST_MICROS)
                                * NANOS);
    }
}

package postgrade.simulation.model;

/**
 * A machine's monotonic clock: it never stands or goes back, and runs a little fast, by a rate that
 * may change.
 */
public final class Clock {

    private double local;
    private double rate;
    private long trueAt;

    Clock(long trueNow, double local, double rate) {
        this.local = local;
        this.rate = rate;
        trueAt = trueNow;
    }

    long read(long trueNow) {
        return (long) (local + (trueNow - trueAt) * rate);
    }

    void run(long trueNow, double newRate) {
        local += (trueNow - trueAt) * rate;
        trueAt = trueNow;
        rate = newRate;
    }
}

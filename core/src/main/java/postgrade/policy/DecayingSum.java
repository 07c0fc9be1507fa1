package postgrade.policy;

/**
 * A sum whose terms decay exponentially with a time constant of one second, so that its value is an
 * amount per second.
 */
final class DecayingSum {

    private static final double TIME_CONSTANT_NS = 1e9;

    private double sum;
    private long updatedNs;

    double perSecond(long nowNs) {
        return sum * Math.exp((updatedNs - nowNs) / TIME_CONSTANT_NS);
    }

    void add(long nowNs, double amount) {
        sum = perSecond(nowNs) + amount;
        updatedNs = nowNs;
    }

    void reset() {
        sum = 0;
        updatedNs = 0;
    }
}

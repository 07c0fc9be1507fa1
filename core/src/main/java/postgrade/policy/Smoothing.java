package postgrade.policy;

/** The exponential moving average used for most learned statistics. */
final class Smoothing {

    /** Weight of the latest observation. */
    static final double RATE = 0.05;

    private Smoothing() {}

    /** Returns the average after one more observation. */
    static double next(double average, double observed) {
        return average + RATE * (observed - average);
    }
}

package postgrade.fleet.model;

/**
 * What a worker is.
 *
 * @param kind the model's name
 * @param speed of a core; work is stated for speed 1
 * @param queue jobs that may wait; beyond it the answer is "full"
 * @param coldShare part of its capacity just after a start
 * @param warmMicros how long it takes to the full capacity, rising evenly
 * @param fallMultiple sent more than so many times its present capacity over {@code fallMicros}, a
 *     cold one falls over
 * @param suspends a job of higher priority may suspend a running one that may be repeated
 * @param runsOn a job that was given up runs on
 * @param accelerators that jobs which need one share
 */
public record WorkerSpec(
        String kind,
        int cores,
        double speed,
        int queue,
        double coldShare,
        long warmMicros,
        double fallMultiple,
        long fallMicros,
        boolean suspends,
        boolean runsOn,
        int accelerators) {

    public WorkerSpec {
        require(accelerators >= 0 && accelerators <= 62, "accelerators must be 0 to 62");
        require(cores > 0, "cores must be above 0");
        require(speed > 0, "speed must be above 0");
        require(queue >= 0, "queue must be 0 or more");
        require(coldShare > 0 && coldShare <= 1, "cold_share must be above 0 and at most 1");
        require(
                warmMicros >= 0 && fallMicros > 0 && fallMultiple > 0,
                "warm_s, fall_s and fall_multiple must be above 0");
    }

    /** A worker without accelerators. */
    public WorkerSpec(
            String kind,
            int cores,
            double speed,
            int queue,
            double coldShare,
            long warmMicros,
            double fallMultiple,
            long fallMicros,
            boolean suspends,
            boolean runsOn) {
        this(
                kind,
                cores,
                speed,
                queue,
                coldShare,
                warmMicros,
                fallMultiple,
                fallMicros,
                suspends,
                runsOn,
                0);
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}

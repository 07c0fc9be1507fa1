package postgrade.policy.api;

/**
 * A worker as described by the worker list.
 *
 * @param id its name, which survives restarts
 * @param zone where it runs
 * @param kind its kind of machine
 * @param cell its group within the zone
 * @param phase whether it accepts jobs
 * @param weight its size relative to others; 0 if none is announced
 * @param startedNs when its process last started, in nanoseconds of the policy's clock; 0 for long
 *     ago
 */
public record WorkerInfo(
        String id,
        String zone,
        String kind,
        int cell,
        WorkerPhase phase,
        double weight,
        long startedNs) {}

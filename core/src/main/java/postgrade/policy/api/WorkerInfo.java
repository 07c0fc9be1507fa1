package postgrade.policy.api;

/**
 * A worker as the list describes it.
 *
 * @param id its name, the same after a restart
 * @param zone where it runs
 * @param kind which kind of machine it is
 * @param cell its group within the zone
 * @param phase whether it takes jobs
 * @param weight its size relative to others, 0 where none is announced
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

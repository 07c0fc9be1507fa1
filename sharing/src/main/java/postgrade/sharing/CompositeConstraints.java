package postgrade.sharing;

import java.util.List;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;

/**
 * Combines several constraints: the start delay of a job is the longest of theirs, and the usable
 * share of a worker is the product of theirs.
 */
final class CompositeConstraints implements JobConstraints {

    private final List<JobConstraints> constraints;

    CompositeConstraints(List<JobConstraints> constraints) {
        this.constraints = List.copyOf(constraints);
    }

    @Override
    public long startDelayNs(long nowNs, Job job) {
        long longest = 0;
        for (JobConstraints constraint : constraints) {
            longest = Math.max(longest, constraint.startDelayNs(nowNs, job));
        }
        return longest;
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        double share = 1;
        for (int i = 0; i < constraints.size() && share > 0; i++) {
            share *= constraints.get(i).usableShare(nowNs, job, worker);
        }
        return share;
    }
}

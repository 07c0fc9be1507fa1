package postgrade.sharing;

import java.util.List;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;

/**
 * Several that have a say: a job starts when all let it, and a worker is as small as all of them
 * make it together.
 */
final class All implements JobConstraints {

    private final List<JobConstraints> abilities;

    All(List<JobConstraints> abilities) {
        this.abilities = List.copyOf(abilities);
    }

    @Override
    public long startDelayNs(long nowNs, Job job) {
        long latest = 0;
        for (JobConstraints a : abilities) {
            latest = Math.max(latest, a.startDelayNs(nowNs, job));
        }
        return latest;
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        double part = 1;
        for (int i = 0; i < abilities.size() && part > 0; i++) {
            part *= abilities.get(i).usableShare(nowNs, job, worker);
        }
        return part;
    }
}

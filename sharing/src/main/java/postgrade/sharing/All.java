package postgrade.sharing;

import java.util.List;
import postgrade.Ability;
import postgrade.Dispatcher.Job;
import postgrade.Dispatcher.Worker;

/**
 * Several that have a say: a job starts when all let it, and a worker is as small as all of them
 * make it together.
 */
final class All implements Ability {

    private final List<Ability> abilities;

    All(List<Ability> abilities) {
        this.abilities = List.copyOf(abilities);
    }

    @Override
    public long opensInNs(long nowNs, Job job) {
        long latest = 0;
        for (Ability a : abilities) {
            latest = Math.max(latest, a.opensInNs(nowNs, job));
        }
        return latest;
    }

    @Override
    public double part(long nowNs, Job job, Worker worker) {
        double part = 1;
        for (int i = 0; i < abilities.size() && part > 0; i++) {
            part *= abilities.get(i).part(nowNs, job, worker);
        }
        return part;
    }
}

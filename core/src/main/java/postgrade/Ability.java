package postgrade;

import postgrade.Dispatcher.Job;
import postgrade.Dispatcher.Worker;

/**
 * What stands beside the module's own decisions: whether a job may start now, and how much of a
 * worker is there for it. Reservations and start windows come in here and nowhere else. Asked for
 * each job and worker, so it has to be quick; it never waits.
 */
public interface Ability {

    /** Everything may start, everywhere, on the whole of each worker. */
    Ability ALL = new Ability() {};

    /** 0 where the job may start now; else it is refused at once, to come again after so long. */
    default long opensInNs(long nowNs, Job job) {
        return 0;
    }

    /**
     * 0 where the worker is not able for this job, 1 where all of it is, between where it is
     * smaller by so much.
     */
    default double part(long nowNs, Job job, Worker worker) {
        return 1;
    }
}

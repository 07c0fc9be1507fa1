package postgrade.fleet.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * One worker's insides, in time that is handed in: cores, a queue by priority, suspension, cold
 * starts, falling over, drains, accelerators, and what faults do to its pace. No sockets, clocks or
 * threads; all times are microseconds of one clock.
 *
 * <p>Call {@link #advance} before anything else at a time, and again at {@link #nextMicros} at the
 * latest.
 */
public final class WorkerModel {

    /** How finely the rise of a cold worker's capacity is followed. */
    private static final long COLD_STEP = 50_000;

    private static final double DONE = 1e-6;

    private final WorkerSpec spec;
    private final Listener listener;
    private final long progressEvery;
    private final Map<String, Job> jobs = new HashMap<>();
    private final List<Job> running = new ArrayList<>();
    private final WaitingLine waiting = new WaitingLine();
    private final ColdStart start;
    private final Accelerators accelerators;
    private long now;
    private double neighbour;
    private boolean paused;
    private boolean draining;
    private boolean down;

    /**
     * @param progressEvery between reports of progress of a running job; 0 for none
     */
    public WorkerModel(
            WorkerSpec spec, long nowMicros, boolean cold, long progressEvery, Listener listener) {
        this.spec = spec;
        this.listener = listener;
        this.progressEvery = progressEvery;
        now = nowMicros;
        start = new ColdStart(spec, cold ? nowMicros : nowMicros - spec.warmMicros());
        accelerators = new Accelerators(spec.accelerators());
    }

    // ---- What the host tells.

    /**
     * Takes a job. False: it is full, drains, is down or knows a later grant; the job has not been
     * looked at.
     */
    public boolean submit(Job job) {
        if (down || draining || jobs.containsKey(job.id) || turnsAway(job)) {
            return false;
        }
        boolean full =
                running.size() >= spec.cores()
                        || job.accelerated && accelerators.freeFor(job.fence) < 0;
        if (full && waiting.size() >= spec.queue() && !wouldSuspend(job)) {
            return false;
        }
        jobs.put(job.id, job);
        waiting.last(job);
        if (job.accelerated && accelerators.hears(job.fence)) {
            handBackOutdated();
        }
        if (start.cold(now) && start.burden(now, job.workMicros, capacity())) {
            down = true;
            listener.fellOver(now);
        }
        if (!down) {
            fill();
        }
        return true;
    }

    /** Whether it has no accelerator for the job, or has heard of a later grant of one. */
    public boolean turnsAway(Job job) {
        return job.accelerated && (spec.accelerators() == 0 || accelerators.turnsAway(job.fence));
    }

    /** The one that a running job has, or -1. */
    public int acceleratorOf(Job job) {
        return accelerators.of(job);
    }

    /** What waits by an earlier grant than the one heard of now is never begun beside the later. */
    private void handBackOutdated() {
        for (Job job : new ArrayList<>(jobs.values())) {
            if (job.accelerated && !job.running && accelerators.turnsAway(job.fence)) {
                remove(job);
                listener.returned(now, job);
            }
        }
    }

    /** Fails a job after so much work, whatever it would have needed. */
    public void failAfter(Job job, double workMicros) {
        job.fails = true;
        job.left = Math.min(job.left, workMicros);
    }

    /**
     * The sender gave a job up. True if it was here. A running one goes on where the worker is like
     * that.
     */
    public boolean giveUp(String id) {
        Job job = jobs.get(id);
        if (job == null) {
            return false;
        }
        if (!job.running || !spec.runsOn()) {
            remove(job);
            fill();
        }
        return true;
    }

    /** Takes nothing new. @param handsBack what has not started is returned */
    public void drain(boolean handsBack) {
        draining = true;
        if (handsBack) {
            for (Job job : new ArrayList<>(jobs.values())) {
                if (!job.running && !job.startTold) {
                    remove(job);
                    listener.returned(now, job);
                }
            }
        }
    }

    /** The process dies; whoever hosts it tells the senders. Returns the jobs that went with it. */
    public List<Job> die() {
        List<Job> lost = new ArrayList<>(jobs.values());
        jobs.clear();
        running.clear();
        waiting.clear();
        accelerators.forget();
        down = true;
        return lost;
    }

    /** A new process, cold. */
    public void restart() {
        down = false;
        draining = false;
        start.again(now);
    }

    /** Another program takes this share of the machine; 0 for none. */
    public void neighbour(double share) {
        neighbour = share;
    }

    /** The whole machine stands still, or goes on. */
    public void pause(boolean still) {
        paused = still;
    }

    // ---- Time.

    /** Carries all jobs on to this time, and tells what happened on the way in its order. */
    public void advance(long to) {
        while (now < to) {
            long next = Math.min(to, Math.max(now + 1, nextMicros()));
            double pace = pace();
            for (Job job : running) {
                job.left -= (next - now) * pace;
            }
            now = next;
            settle();
        }
        settle();
    }

    private void settle() {
        for (Job job : new ArrayList<>(running)) {
            if (!job.running) {
                continue; // Gone by what the listener did.
            }
            if (job.left <= DONE) {
                remove(job);
                if (job.fails) {
                    listener.failed(now, job);
                } else {
                    listener.done(now, job);
                }
            } else if (progressEvery > 0 && now >= job.progressMicros && !paused) {
                job.progressMicros = now + progressEvery;
                listener.progress(now, job, 1 - job.left / job.workMicros);
            }
        }
        if (!down) {
            fill();
        }
    }

    /** The time at which something happens by itself; {@link Long#MAX_VALUE} if nothing will. */
    public long nextMicros() {
        if (running.isEmpty() || paused) {
            return Long.MAX_VALUE;
        }
        double pace = pace();
        long next = Long.MAX_VALUE;
        for (Job job : running) {
            next = Math.min(next, now + (long) Math.ceil(Math.max(0, job.left) / pace));
            if (progressEvery > 0) {
                next = Math.min(next, job.progressMicros);
            }
        }
        return start.cold(now) ? Math.min(next, now + COLD_STEP) : next;
    }

    // ---- Insides.

    /** Work done in a microsecond on one core. */
    private double pace() {
        return paused ? 0 : spec.speed() * start.warmth(now) * (1 - neighbour);
    }

    /** Work that all cores together do in a microsecond now, without what faults take. */
    public double capacity() {
        return spec.speed() * spec.cores() * start.warmth(now);
    }

    private boolean wouldSuspend(Job job) {
        return spec.suspends()
                && running.stream()
                        .anyMatch(r -> r.repeatable && !r.accelerated && r.priority < job.priority);
    }

    private void fill() {
        if (paused || down) {
            return;
        }
        Job next;
        while ((next = waiting.next(this::mayBegin)) != null) {
            if (running.size() >= spec.cores()) {
                Job suspended = lowest(next);
                if (suspended == null) {
                    return;
                }
                running.remove(suspended);
                suspended.running = false;
                waiting.first(suspended);
            }
            waiting.remove(next);
            if (next.accelerated) {
                accelerators.use(accelerators.freeFor(next.fence), next);
            }
            next.running = true;
            running.add(next);
            if (!next.startTold) {
                next.startTold = true;
                next.progressMicros = now + progressEvery;
                listener.started(now, next);
            }
        }
    }

    private boolean mayBegin(Job job) {
        return !job.accelerated || accelerators.freeFor(job.fence) >= 0;
    }

    private Job lowest(Job than) {
        Job lowest = null;
        for (Job r : running) {
            if (spec.suspends()
                    && r.repeatable
                    && !r.accelerated
                    && r.priority < than.priority
                    && (lowest == null || r.priority < lowest.priority)) {
                lowest = r;
            }
        }
        return lowest;
    }

    private void remove(Job job) {
        jobs.remove(job.id);
        if (job.running) {
            job.running = false;
            running.remove(job);
            accelerators.leave(job);
        } else {
            waiting.remove(job);
        }
    }

    public WorkerSpec spec() {
        return spec;
    }

    public boolean isDown() {
        return down;
    }

    public boolean isDraining() {
        return draining;
    }

    public int running() {
        return running.size();
    }

    public int waiting() {
        return waiting.size();
    }

    /** Nothing is left to do. */
    public boolean idle() {
        return jobs.isEmpty();
    }

    /** The jobs here, in no order. */
    public Iterator<Job> jobs() {
        return jobs.values().iterator();
    }
}

package postgrade.fleet.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One worker's insides, in time that is handed in: cores, a queue by priority, suspension, cold starts, falling over,
 * drains, and what faults do to its pace. No sockets, clocks or threads; all times are microseconds of one clock.
 *
 * <p>Call {@link #advance} before anything else at a time, and again at {@link #nextMicros} at the latest.
 */
public final class WorkerModel {

    /** How finely the rise of a cold worker's capacity is followed. */
    private static final long COLD_STEP = 50_000;
    private static final double DONE = 1e-6;

    /** One job at the worker. */
    public static final class Job {
        public final String id;
        public final int priority;
        public final boolean repeatable;
        /** Work on a core of speed 1, in microseconds. */
        public final double workMicros;
        /** Whatever the host wants to keep with it. */
        public final Object attachment;
        private double left;
        private boolean running;
        private boolean startTold;
        private boolean fails;
        private long progressMicros;

        public Job(String id, int priority, boolean repeatable, double workMicros, Object attachment) {
            this.id = id;
            this.priority = priority;
            this.repeatable = repeatable;
            this.workMicros = workMicros;
            this.attachment = attachment;
            left = workMicros;
        }
    }

    private final WorkerSpec spec;
    private final Listener listener;
    private final long progressEvery;
    private final Map<String, Job> jobs = new HashMap<>();
    private final List<Job> running = new ArrayList<>();
    private final TreeMap<Integer, Deque<Job>> waiting = new TreeMap<>();
    private final ArrayDeque<long[]> sentWhileCold = new ArrayDeque<>();
    private int waitingCount;
    private long now;
    private long bornMicros;
    private double neighbour;
    private boolean paused;
    private boolean draining;
    private boolean down;

    /** @param progressEvery between reports of progress of a running job; 0 for none */
    public WorkerModel(WorkerSpec spec, long nowMicros, boolean cold, long progressEvery, Listener listener) {
        this.spec = spec;
        this.listener = listener;
        this.progressEvery = progressEvery;
        now = nowMicros;
        bornMicros = cold ? nowMicros : nowMicros - spec.warmMicros();
    }

    // ---- What the host tells.

    /** Takes a job. False: it is full, drains or is down, and the job has not been looked at. */
    public boolean submit(Job job) {
        if (down || draining || jobs.containsKey(job.id) || running.size() >= spec.cores()
                && waitingCount >= spec.queue() && !wouldSuspend(job)) {
            return false;
        }
        jobs.put(job.id, job);
        waiting.computeIfAbsent(-job.priority, p -> new ArrayDeque<>()).addLast(job);
        waitingCount++;
        if (cold()) {
            burden(job);
        }
        if (!down) {
            fill();
        }
        return true;
    }

    /** Fails a job after so much work, whatever it would have needed. */
    public void failAfter(Job job, double workMicros) {
        job.fails = true;
        job.left = Math.min(job.left, workMicros);
    }

    /** The sender gave a job up. True if it was here. A running one goes on where the worker is like that. */
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
        waitingCount = 0;
        down = true;
        return lost;
    }

    /** A new process, cold. */
    public void restart() {
        down = false;
        draining = false;
        bornMicros = now;
        sentWhileCold.clear();
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
        return cold() ? Math.min(next, now + COLD_STEP) : next;
    }

    // ---- Insides.

    private boolean cold() {
        return now - bornMicros < spec.warmMicros();
    }

    private double warmth() {
        return cold() ? spec.coldShare() + (1 - spec.coldShare()) * (now - bornMicros) / spec.warmMicros() : 1;
    }

    /** Work done in a microsecond on one core. */
    private double pace() {
        return paused ? 0 : spec.speed() * warmth() * (1 - neighbour);
    }

    /** Work that all cores together do in a microsecond now, without what faults take. */
    public double capacity() {
        return spec.speed() * spec.cores() * warmth();
    }

    /** A cold worker bears only so much within a time. */
    private void burden(Job job) {
        sentWhileCold.addLast(new long[] {now, (long) job.workMicros});
        while (sentWhileCold.peekFirst()[0] < now - spec.fallMicros()) {
            sentWhileCold.pollFirst();
        }
        double sent = sentWhileCold.stream().mapToLong(s -> s[1]).sum();
        // One job may be large by chance: that alone tips nobody.
        if (sentWhileCold.size() > spec.cores() + 1 && sent > spec.fallMultiple() * capacity() * spec.fallMicros()) {
            down = true;
            listener.fellOver(now);
        }
    }

    private boolean wouldSuspend(Job job) {
        return spec.suspends() && running.stream().anyMatch(r -> r.repeatable && r.priority < job.priority);
    }

    private void fill() {
        if (paused || down) {
            return;
        }
        while (waitingCount > 0) {
            Job next = waiting.firstEntry().getValue().peekFirst();
            if (running.size() >= spec.cores()) {
                Job suspended = lowest(next);
                if (suspended == null) {
                    return;
                }
                running.remove(suspended);
                suspended.running = false;
                // It goes on before others of its priority: it came first.
                waiting.computeIfAbsent(-suspended.priority, p -> new ArrayDeque<>()).addFirst(suspended);
                waitingCount++;
            }
            takeWaiting(next);
            next.running = true;
            running.add(next);
            if (!next.startTold) {
                next.startTold = true;
                next.progressMicros = now + progressEvery;
                listener.started(now, next);
            }
        }
    }

    private Job lowest(Job than) {
        Job lowest = null;
        for (Job r : running) {
            if (spec.suspends() && r.repeatable && r.priority < than.priority
                    && (lowest == null || r.priority < lowest.priority)) {
                lowest = r;
            }
        }
        return lowest;
    }

    private void takeWaiting(Job job) {
        Deque<Job> line = waiting.get(-job.priority);
        if (line != null && line.remove(job)) {
            waitingCount--;
            if (line.isEmpty()) {
                waiting.remove(-job.priority);
            }
        }
    }

    private void remove(Job job) {
        jobs.remove(job.id);
        if (job.running) {
            job.running = false;
            running.remove(job);
        } else {
            takeWaiting(job);
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
        return waitingCount;
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

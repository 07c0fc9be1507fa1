package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import postgrade.Ability;
import postgrade.Dispatcher;
import postgrade.policy.State.*;

/**
 * All decisions of one gateway: the front, which hands each event to the parts that decide. The
 * types, events and actions stand in Dispatcher.java. docs/design.md says what is kept of the
 * design, and when each departure from it acts.
 */
public final class Decide implements Dispatcher {

    private static final String SWEEP = "sweep";

    private final Memory my;
    private final Sight sight;
    private final Admission admission;
    private final Gate gate;
    private final Health health;
    private final Retries retries;
    private final Workers workers;
    private boolean sweeping;

    public Decide(Settings settings, long seed, Actions actions) {
        my = new Memory(settings, seed, actions);
        my.askAgainNs = Workers.AGAIN_NS;
        sight = new Sight(my);
        admission = new Admission(my, sight);
        Cold cold = new Cold(my, sight, admission);
        gate = new Gate(my, cold);
        health = new Health(my);
        retries =
                new Retries(my, sight, admission, new Choice(my, sight, cold, gate), gate, health);
        workers = new Workers(my);
    }

    @Override
    public void settings(long nowNs, Settings settings) {
        my.settings(nowNs, settings);
    }

    @Override
    public void ability(Ability ability) {
        my.ability = ability;
    }

    @Override
    public void job(long nowNs, Job job) {
        ClassState cls = my.classes.get(job.jobClass());
        if (cls == null) {
            throw new IllegalArgumentException("unknown class " + job.jobClass());
        }
        if (my.jobs.containsKey(job.id())) {
            return; // One id, one life: the first job under it still owes its answer.
        }
        long closedForNs = my.ability.opensInNs(nowNs, job);
        if (closedForNs > 0) {
            my.out.refuse(
                    job.id(),
                    closedForNs); // Perhaps hours: the longest usual wait does not bound it.
            return;
        }
        Held h = new Held(job, cls, nowNs, my.set.maxAttempts);
        my.jobs.put(job.id(), h);
        long emptyFor = admission.charge(nowNs, job);
        h.withinShare = emptyFor == 0;
        h.retryAfterNs = h.withinShare ? Workers.AGAIN_NS : emptyFor;
        retries.place(nowNs, h);
        sweepLater();
    }

    @Override
    public void abandoned(long nowNs, String jobId) {
        Held h = my.jobs.get(jobId);
        if (h != null) {
            h.answered = true;
            gate.release(h);
        }
    }

    // ---- Outcomes and notices. What concerns an ended attempt or an unknown job is left alone.

    @Override
    public void started(long nowNs, String jobId, int attempt) {
        sight.started(nowNs, Held.running(my.jobs.get(jobId), attempt));
    }

    @Override
    public void streaming(long nowNs, String jobId, int attempt) {
        started(nowNs, jobId, attempt);
        Attempt a = Held.running(my.jobs.get(jobId), attempt);
        if (a != null) {
            a.held.streaming = true;
        }
    }

    @Override
    public void finished(
            long nowNs, String jobId, int attempt, Outcome outcome, boolean last, Load load) {
        Attempt a = Held.running(my.jobs.get(jobId), attempt);
        if (a == null) {
            return;
        }
        Held h = a.held;
        a.node.averageUsed(nowNs, Sight.REPORT_LAG_NS);
        h.end(a, outcome.provesNotRun());
        sight.report(nowNs, a.node, load);
        health.judge(nowNs, a, outcome);
        if (outcome == Outcome.SERVED) {
            retries.earn();
            sight.served(nowNs, a);
        }
        h.answered |= last;
        if (h.answered) {
            gate.release(h);
        } else if (h.out == 0) {
            retries.next(nowNs, h, a, outcome);
        }
    }

    @Override
    public void probed(long nowNs, String workerId, boolean answered, Load load) {
        Node n = my.nodes.get(workerId);
        if (n != null && answered) {
            sight.report(nowNs, n, load);
        }
    }

    @Override
    public void timer(long nowNs, String token) {
        if (token.equals(Workers.ASK)) {
            my.out.watch();
        } else if (token.equals(SWEEP)) {
            sweeping = false;
            new ArrayList<>(my.jobs.values()).forEach(h -> retries.sweep(nowNs, h));
            sweepLater();
        }
    }

    private void sweepLater() {
        if (!sweeping && !my.jobs.isEmpty()) {
            sweeping = true;
            my.out.timer(SWEEP, Retries.SWEEP_NS);
        }
    }

    @Override
    public void share(long nowNs, double part) {
        my.share(part);
    }

    @Override
    public List<Learnt> learnt(long nowNs) {
        return Experience.tell(nowNs, my);
    }

    @Override
    public void learn(long nowNs, List<Learnt> all) {
        Experience.take(nowNs, all, my);
        my.weighClasses();
    }

    @Override
    public void list(long nowNs, ListForm form, List<Worker> listed) {
        workers.list(nowNs, form, listed);
    }

    /**
     * Put back by an operator, restarted. It owes one trial: others look better while it is cold.
     */
    @Override
    public void recalled(long nowNs, String workerId) {
        Node n = my.nodes.get(workerId);
        if (n != null) {
            n.forget();
            n.untried = true;
        }
    }
}

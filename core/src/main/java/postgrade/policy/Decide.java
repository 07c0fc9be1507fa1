package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import postgrade.policy.State.*;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.TransferredFigures;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListForm;

/**
 * All decisions of one gateway: the front, which hands each event to the parts that decide. The
 * types, events and actions stand in Dispatcher.java. docs/design.md says what is kept of the
 * design, and when each departure from it acts.
 */
public final class Decide implements DispatchPolicy {

    private static final String SWEEP = "sweep";

    private final Memory my;
    private final Sight sight;
    private final Admission admission;
    private final Gate gate;
    private final Health health;
    private final Retries retries;
    private final Workers workers;
    private boolean sweeping;

    public Decide(PolicySettings settings, long seed, PolicyActions actions) {
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
    public void settingsChanged(long nowNs, PolicySettings settings) {
        my.settings(nowNs, settings);
    }

    @Override
    public void constraintsChanged(JobConstraints ability) {
        my.ability = ability;
    }

    @Override
    public void jobArrived(long nowNs, Job job) {
        ClassState cls = my.classes.get(job.jobClass());
        if (cls == null) {
            throw new IllegalArgumentException("unknown class " + job.jobClass());
        }
        if (my.jobs.containsKey(job.id())) {
            return; // One id, one life: the first job under it still owes its answer.
        }
        long closedForNs = my.ability.startsInNs(nowNs, job);
        if (closedForNs > 0) {
            my.out.reject(
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
    public void clientLeft(long nowNs, String jobId) {
        Held h = my.jobs.get(jobId);
        if (h != null) {
            h.answered = true;
            gate.release(h);
        }
    }

    // ---- Outcomes and notices. What concerns an ended attempt or an unknown job is left alone.

    @Override
    public void attemptStarted(long nowNs, String jobId, int attempt) {
        sight.started(nowNs, Held.running(my.jobs.get(jobId), attempt));
    }

    @Override
    public void attemptStreaming(long nowNs, String jobId, int attempt) {
        attemptStarted(nowNs, jobId, attempt);
        Attempt a = Held.running(my.jobs.get(jobId), attempt);
        if (a != null) {
            a.held.streaming = true;
        }
    }

    @Override
    public void attemptFinished(
            long nowNs,
            String jobId,
            int attempt,
            AttemptOutcome outcome,
            boolean last,
            LoadReport load) {
        Attempt a = Held.running(my.jobs.get(jobId), attempt);
        if (a == null) {
            return;
        }
        Held h = a.held;
        a.node.averageUsed(nowNs, Sight.REPORT_LAG_NS);
        h.end(a, outcome.provesNotRun());
        sight.report(nowNs, a.node, load);
        health.judge(nowNs, a, outcome);
        if (outcome == AttemptOutcome.SERVED) {
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
    public void workerProbed(long nowNs, String workerId, boolean answered, LoadReport load) {
        Node n = my.nodes.get(workerId);
        if (n != null && answered) {
            sight.report(nowNs, n, load);
        }
    }

    @Override
    public void timerFired(long nowNs, String token) {
        if (token.equals(Workers.ASK)) {
            my.out.watchWorkers();
        } else if (token.equals(SWEEP)) {
            sweeping = false;
            new ArrayList<>(my.jobs.values()).forEach(h -> retries.sweep(nowNs, h));
            sweepLater();
        }
    }

    private void sweepLater() {
        if (!sweeping && !my.jobs.isEmpty()) {
            sweeping = true;
            my.out.startTimer(SWEEP, Retries.SWEEP_NS);
        }
    }

    @Override
    public void shareChanged(long nowNs, double part) {
        my.share(part);
    }

    @Override
    public List<TransferredFigures> exportFigures(long nowNs) {
        return Experience.tell(nowNs, my);
    }

    @Override
    public void importFigures(long nowNs, List<TransferredFigures> all) {
        Experience.take(nowNs, all, my);
        my.weighClasses();
    }

    @Override
    public void workersUpdated(long nowNs, WorkerListForm form, List<WorkerInfo> listed) {
        workers.list(nowNs, form, listed);
    }

    /**
     * Put back by an operator, restarted. It owes one trial: others look better while it is cold.
     */
    @Override
    public void workerReenabled(long nowNs, String workerId) {
        Node n = my.nodes.get(workerId);
        if (n != null) {
            n.forget();
            n.untried = true;
        }
    }
}

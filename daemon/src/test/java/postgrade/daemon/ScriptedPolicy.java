package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;

/**
 * A policy that records the events it is given and performs the actions that the test sets. Runs on
 * the loop's thread.
 */
final class ScriptedPolicy implements DispatchPolicy {
    final PolicyActions actions;
    JobConstraints constraints;
    volatile double lastShare = 1;
    volatile List<PolicyStateEntry> exportedFigures = List.of();
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    volatile Consumer<Job> onJob = job -> {};
    volatile BiConsumer<String, Integer> onStarted = (id, attempt) -> {};
    volatile BiConsumer<String, AttemptOutcome> onFinished = (id, outcome) -> {};

    ScriptedPolicy(PolicyActions actions) {
        this.actions = actions;
    }

    void expectEvent(String expected) throws InterruptedException {
        assertEquals(expected, events.poll(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Skips other events, where these depend on how late the loop handles a deadline. */
    void expectEventAmongOthers(String expected) throws InterruptedException {
        String next;
        do {
            next = events.poll(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS);
        } while (next != null && !next.equals(expected));
        assertEquals(expected, next);
    }

    @Override
    public boolean mayRunAgain(String jobClass) {
        return !jobClass.equals("confirm");
    }

    @Override
    public void workersUpdated(long nowNs, WorkerListUpdateType form, List<WorkerInfo> workers) {
        events.add(
                "list "
                        + form
                        + " "
                        + workers.stream().map(w -> w.id() + " " + w.phase()).toList());
    }

    @Override
    public void workerReenabled(long nowNs, String workerId) {
        events.add("recalled " + workerId);
    }

    @Override
    public List<PolicyStateEntry> exportState(long nowNs) {
        return exportedFigures;
    }

    @Override
    public void importState(long nowNs, List<PolicyStateEntry> entries) {
        if (!entries.isEmpty()) {
            events.add(
                    "learn "
                            + entries.stream()
                                    .map(
                                            entry ->
                                                    entry.category()
                                                            + " "
                                                            + entry.name()
                                                            + " "
                                                            + Arrays.toString(entry.values()))
                                    .toList());
        }
    }

    @Override
    public void constraintsChanged(JobConstraints newConstraints) {
        constraints = newConstraints;
    }

    @Override
    public void quotaShareChanged(long nowNs, double share) {
        lastShare = share;
        if (share != 1) { // Every start reports a share of 1.
            events.add("share " + share);
        }
    }

    @Override
    public void settingsChanged(long nowNs, PolicySettings settings) {
        events.add("settings " + settings.classes.stream().map(JobClass::name).toList());
    }

    @Override
    public void jobArrived(long nowNs, Job job) {
        events.add("job " + job.id());
        onJob.accept(job);
    }

    @Override
    public void attemptStarted(long nowNs, String jobId, int attempt) {
        events.add("started " + jobId + " " + attempt);
        onStarted.accept(jobId, attempt);
    }

    @Override
    public void attemptStreaming(long nowNs, String jobId, int attempt) {}

    @Override
    public void attemptFinished(
            long nowNs,
            String jobId,
            int attempt,
            AttemptOutcome outcome,
            boolean last,
            LoadReport load) {
        events.add("finished " + jobId + " " + attempt + " " + outcome + " " + last);
        onFinished.accept(jobId, outcome);
    }

    @Override
    public void workerProbed(long nowNs, String workerId, boolean answered, LoadReport load) {
        events.add("probed " + workerId + " " + answered);
    }

    @Override
    public void jobAbandoned(long nowNs, String jobId) {
        events.add("abandoned " + jobId);
    }

    @Override
    public void timerFired(long nowNs, String token) {
        events.add("timer " + token);
    }
}

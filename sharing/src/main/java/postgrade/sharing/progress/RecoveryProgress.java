package postgrade.sharing.progress;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.AnsweredRequest;
import postgrade.dispatch.EndedAttempt;
import postgrade.dispatch.RequestObserver;
import postgrade.extension.Host;
import postgrade.log.Events;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.recovery.AdmissionRamp;
import postgrade.recovery.Recovery;
import postgrade.recovery.Recovery.Observation;
import postgrade.recovery.Recovery.Step;
import postgrade.recovery.RecoveryPhase;
import postgrade.recovery.ServedWorth;

/**
 * Measures how far this process has recovered, by the share of the requested worth that it serves,
 * and reports it in the log and to operators.
 */
public final class RecoveryProgress implements RequestObserver {

    private static final Logger LOG = LoggerFactory.getLogger(RecoveryProgress.class);
    private static final double NANOS_PER_MICRO = 1e3;
    private static final long REFRESH_INTERVAL_MICROS = 5_000_000;

    private final Host host;
    private final Recovery recovery;
    private final ServedWorth servedWorth;
    private final long startedMicros;
    private AdmissionRamp ramp;
    private final Map<String, Double> meanServiceMicros = new HashMap<>();
    private Map<String, JobClass> classes = Map.of();
    private long nextRefreshMicros;
    private int loggedSteps;
    private boolean hasSnapshot;
    private int aliveMembers;

    public RecoveryProgress(Host host, Recovery.Bounds bounds) {
        this.host = host;
        startedMicros = host.timers().nowMicros();
        recovery = new Recovery(startedMicros, bounds);
        servedWorth = new ServedWorth(startedMicros);
        refresh(startedMicros);
    }

    /** Sets the served share from the trusted snapshot of a former process as the baseline. */
    public void restoreBaseline(double servedShare) {
        hasSnapshot = true;
        servedWorth.setBaseline(servedShare);
    }

    /**
     * Starts the admission ramp.
     *
     * @param warmShare the capacity of the known workers now, relative to their capacity once all
     *     are warm
     */
    public void startRamp(double warmShare) {
        ramp = new AdmissionRamp(host.timers().nowMicros(), warmShare);
    }

    public boolean isRamping() {
        return ramp != null && ramp.admittedShare(host.timers().nowMicros()) < 1;
    }

    /** Returns the admission ramp; null until the workers are known. */
    public AdmissionRamp ramp() {
        return ramp;
    }

    /**
     * Returns the share of the requested worth that was served within its objective, over the
     * longer period; NaN if nothing was requested.
     */
    public double longTermServedShare() {
        return servedWorth.longTermShare();
    }

    /**
     * Updates the phase of the recovery.
     *
     * @param viewAgeMicros the age of the view of the shared state
     * @param joined whether this process is a member
     * @param members the live members in the view, 0 if unknown
     */
    public void update(long viewAgeMicros, boolean joined, int members) {
        long now = host.timers().nowMicros();
        if (now >= nextRefreshMicros) {
            refresh(now);
        }
        if (members < aliveMembers) {
            servedWorth.recordFault(now);
            recovery.recordFault();
        }
        aliveMembers = members;
        RecoveryPhase before = recovery.phase();
        RecoveryPhase after =
                recovery.update(
                        now,
                        new Observation(
                                hasSnapshot,
                                ramp != null,
                                viewAgeMicros,
                                joined,
                                ramp == null ? 0 : ramp.admittedShare(now),
                                servedWorth.recentShare(now),
                                servedWorth.baseline()));
        if (after == RecoveryPhase.FULL && before != RecoveryPhase.FULL) {
            servedWorth.clearBaseline();
        }
        logNewSteps();
    }

    private void logNewSteps() {
        List<Step> steps = recovery.steps();
        for (Step s : steps.subList(Math.min(loggedSteps, steps.size()), steps.size())) {
            long afterMillis = (s.atMicros() - startedMicros) / 1000;
            Events.info(LOG, "comeback.phase")
                    .addKeyValue("phase", s.phase().text())
                    .addKeyValue("after_ms", afterMillis)
                    .addKeyValue("cause", s.cause())
                    .log(s.phase().text() + " after " + afterMillis + " ms: " + s.cause());
        }
        loggedSteps = steps.size();
    }

    private void refresh(long now) {
        nextRefreshMicros = now + REFRESH_INTERVAL_MICROS;
        Map<String, JobClass> byName = new HashMap<>();
        host.settings().classes.forEach(c -> byName.put(c.name(), c));
        classes = byName;
        if (classes.values().stream().anyMatch(c -> c.objectivePerServiceTime() > 0)) {
            for (PolicyStateEntry entry : host.exportPolicyState()) {
                if (entry.category().equals("class") && entry.values().length > 0) {
                    meanServiceMicros.put(entry.name(), entry.values()[0] / NANOS_PER_MICRO);
                }
            }
        }
    }

    @Override
    public void requestAnswered(AnsweredRequest answered) {
        JobClass jobClass = classes.get(answered.jobClass());
        if (jobClass != null) {
            double objectiveMicros =
                    jobClass.latencyObjectiveNs() / NANOS_PER_MICRO
                            + jobClass.objectivePerServiceTime()
                                    * meanServiceMicros.getOrDefault(answered.jobClass(), 0.0);
            boolean withinObjective =
                    answered.isServed() && answered.afterMicros() <= objectiveMicros;
            servedWorth.add(host.timers().nowMicros(), jobClass.priorityWeight(), withinObjective);
        }
    }

    @Override
    public void attemptEnded(EndedAttempt ended) {
        AttemptOutcome outcome = ended.outcome();
        if (ramp != null && (outcome == AttemptOutcome.FULL || outcome == AttemptOutcome.SERVED)) {
            ramp.recordAnswer(outcome == AttemptOutcome.FULL);
        }
    }

    public RecoveryPhase phase() {
        return recovery.phase();
    }

    /** Returns all phases with their times, for operators. */
    public JsonArray phases() {
        JsonArray all = Json.array();
        recovery.steps()
                .forEach(
                        s ->
                                all.add(
                                        Json.object()
                                                .add("phase", s.phase().text())
                                                .add(
                                                        "afterMs",
                                                        (s.atMicros() - startedMicros) / 1000)
                                                .add("cause", s.cause())));
        return all;
    }
}

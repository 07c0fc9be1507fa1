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
 * Measures how far this process has come back, by what is served, and says so in the log and to
 * operators.
 */
public final class Progress implements RequestObserver {

    private static final Logger LOG = LoggerFactory.getLogger(Progress.class);
    private static final double NANOS = 1e3;
    private static final long MEANS_MICROS = 5_000_000;

    private final Host host;
    private final Recovery recovery;
    private final ServedWorth worth;
    private final long startedMicros;
    private AdmissionRamp ramp;
    private final Map<String, Double> meanMicros = new HashMap<>();
    private Map<String, JobClass> classes = Map.of();
    private long meansDueMicros;
    private int said;
    private boolean remembers;
    private int alive;

    public Progress(Host host, Recovery.Bounds bounds) {
        this.host = host;
        startedMicros = host.timers().nowMicros();
        recovery = new Recovery(startedMicros, bounds);
        worth = new ServedWorth(startedMicros);
        refresh(startedMicros);
    }

    /** A former process's snapshot is trusted. */
    public void remember(double served) {
        remembers = true;
        worth.setBaseline(served);
    }

    /**
     * @param able what the known workers can do now, as a part of what they can once all are warm
     */
    public void ramp(double able) {
        ramp = new AdmissionRamp(host.timers().nowMicros(), able);
    }

    public boolean ramps() {
        return ramp != null && ramp.admittedShare(host.timers().nowMicros()) < 1;
    }

    /** Null before the workers are known. */
    public AdmissionRamp ramp() {
        return ramp;
    }

    /** Worth in time over the longer time; NaN where nothing was asked. */
    public double usual() {
        return worth.longTermShare();
    }

    /**
     * @param members that live by the view, 0 where it does not tell
     */
    public void look(long viewAgeMicros, boolean joined, int members) {
        long now = host.timers().nowMicros();
        if (now >= meansDueMicros) {
            refresh(now);
        }
        if (members < alive) {
            worth.recordFault(now);
            recovery.recordFault();
        }
        alive = members;
        RecoveryPhase was = recovery.phase();
        RecoveryPhase is =
                recovery.update(
                        now,
                        new Observation(
                                remembers,
                                ramp != null,
                                viewAgeMicros,
                                joined,
                                ramp == null ? 0 : ramp.admittedShare(now),
                                worth.recentShare(now),
                                worth.baseline()));
        if (is == RecoveryPhase.FULL && was != RecoveryPhase.FULL) {
            worth.clearBaseline();
        }
        say();
    }

    private void say() {
        List<Step> steps = recovery.steps();
        for (Step s : steps.subList(Math.min(said, steps.size()), steps.size())) {
            long after = (s.atMicros() - startedMicros) / 1000;
            Events.info(LOG, "comeback.phase")
                    .addKeyValue("phase", s.phase().text())
                    .addKeyValue("after_ms", after)
                    .addKeyValue("cause", s.cause())
                    .log(s.phase().text() + " after " + after + " ms: " + s.cause());
        }
        said = steps.size();
    }

    private void refresh(long now) {
        meansDueMicros = now + MEANS_MICROS;
        Map<String, JobClass> byName = new HashMap<>();
        host.settings().classes.forEach(c -> byName.put(c.name(), c));
        classes = byName;
        if (classes.values().stream().anyMatch(c -> c.objectivePerServiceTime() > 0)) {
            for (PolicyStateEntry l : host.exportPolicyState()) {
                if (l.category().equals("class") && l.values().length > 0) {
                    meanMicros.put(l.name(), l.values()[0] / NANOS);
                }
            }
        }
    }

    @Override
    public void requestAnswered(AnsweredRequest answered) {
        JobClass c = classes.get(answered.jobClass());
        if (c != null) {
            double aim =
                    c.latencyObjectiveNs() / NANOS
                            + c.objectivePerServiceTime()
                                    * meanMicros.getOrDefault(answered.jobClass(), 0.0);
            boolean inTime = answered.isServed() && answered.afterMicros() <= aim;
            worth.add(host.timers().nowMicros(), c.priorityWeight(), inTime);
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

    /** All phases with their times, for operators. */
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

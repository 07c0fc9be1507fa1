package postgrade.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
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
 * The daemon's core. It holds the open invocations and their calls, hands events to the decision
 * module and carries out its actions. It knows no protocol: a consumer's side opens and abandons
 * invocations, the provider's side sends calls and tells how they end.
 *
 * <p>What comes in during a turn of the loop is queued. {@link #turn} hands it to the module in one
 * go and only then carries out the actions, in order; what those bring about waits for the next
 * turn.
 */
public final class Gateway {

    private static final long NANOS = 1_000;

    /**
     * The module answers by the deadline; what it has not answered so long after is failed here.
     */
    private static final long OVERDUE_MICROS = 20_000;

    /** When a consumer that finds all places taken may come back. */
    static final long FULL_RETRY_MICROS = 500_000;

    private final Timers timers;
    private final Faults faults;
    private final DispatchPolicy module;
    private int mostHeld;
    private boolean mayDuplicate;
    private final Map<String, Invocation> open = new HashMap<>();
    private final Turn turn;
    private final Endings endings;
    private Providers providers;

    /**
     * @param module makes the decision module, given where its actions go
     * @param mayDuplicate two calls of one invocation may be out at once
     * @param mostHeld the most invocations held at once; further ones are rejected at once
     * @param faults hears of what went wrong in the module
     */
    public Gateway(
            Function<PolicyActions, DispatchPolicy> module,
            boolean mayDuplicate,
            int mostHeld,
            Timers timers,
            Faults faults) {
        this.timers = timers;
        this.faults = faults;
        this.mostHeld = mostHeld;
        this.mayDuplicate = mayDuplicate;
        turn = new Turn(timers, faults);
        endings = new Endings(timers, faults, turn, this::module);
        this.module =
                module.apply(
                        new Orders(
                                timers,
                                faults,
                                turn,
                                endings,
                                open,
                                this::providers,
                                this::module));
    }

    private DispatchPolicy module() {
        return module;
    }

    private Providers providers() {
        return providers;
    }

    /** To be called once, before the first turn. */
    public void connect(Providers to) {
        providers = to;
    }

    /** Sees from now on what becomes of invocations. */
    public void witness(Witness w) {
        endings.witness = w;
    }

    // ---- What comes in. Nothing here calls the module.

    /** Takes an invocation over. False if its id is held already: then nobody will answer it. */
    public boolean open(Invocation in) {
        if (open.containsKey(in.id)) {
            return false; // One id, one life: the module would ignore the second and never answer
            // it.
        }
        if (endings.waiting >= mostHeld) {
            // Guards the memory: beyond this an invocation is turned away before the module hears
            // of it.
            in.consumer.reject(FULL_RETRY_MICROS);
            endings.witness.answered(in.id, in.jobClass, 0, false);
            return true;
        }
        open.put(in.id, in);
        endings.waiting++;
        in.arrivedMicros = timers.nowMicros();
        in.mayDuplicate = mayDuplicate;
        in.overdue = timers.at(in.deadlineMicros + OVERDUE_MICROS, () -> endings.overdue(in));
        turn.event(
                now -> {
                    try {
                        module.jobArrived(
                                now,
                                new Job(
                                        in.id,
                                        in.jobClass,
                                        in.tenant,
                                        in.key,
                                        in.deadlineMicros * NANOS - now,
                                        in.slots,
                                        in.memory));
                    } catch (RuntimeException e) {
                        // Guards the one answer: an invocation that the module stumbles over is
                        // still owed it.
                        faults.fault(
                                Faults.JOB_NOT_TAKEN,
                                "the module could not take a job of class " + in.jobClass,
                                e);
                        endings.failed(in, false);
                    }
                });
        return true;
    }

    /** The consumer has left: nothing more is owed. */
    public void abandon(Invocation in) {
        if (!in.answered) {
            endings.conclude(in);
            endings.tell(in, now -> module.clientLeft(now, in.id));
            endings.withdraw(in);
        }
    }

    /**
     * Answers whatever has come since then and is unanswered, as there is no time left to serve it.
     */
    public void concludeSince(long micros) {
        for (Invocation in : new ArrayList<>(open.values())) {
            if (!in.answered && in.arrivedMicros >= micros) {
                endings.failed(in, false);
                endings.tell(in, now -> module.clientLeft(now, in.id));
            }
        }
    }

    /**
     * A provider's call-back. Those of unknown jobs, other providers and ended calls are passed
     * over. False if the job is not known here.
     */
    public boolean report(String id, String from, JobState state, double share, byte[] result) {
        Invocation in = open.get(id);
        InvokerCall call = in == null ? null : in.callOutAt(from);
        if (call == null) {
            return in != null;
        }
        switch (state) {
            case STARTED -> {
                call.beganMicros = timers.nowMicros();
                endings.tell(in, now -> module.attemptStarted(now, id, call.number));
            }
            case RUNNING ->
                    endings.tell(in, now -> module.attemptProgressed(now, id, call.number, share));
            default -> {
                if (state != JobState.DONE && call.echoes()) {
                    // Guards against a late call-back of an earlier call to the same provider,
                    // which would free
                    // this one while it runs: it is given up before the module hears, and may have
                    // run.
                    endings.giveUp(call, AttemptOutcome.RESET);
                } else {
                    call.handle.ended();
                    endings.end(call, state.end, result);
                }
            }
        }
        return true;
    }

    /** How a call ended, as the provider's side saw it. */
    public void ended(InvokerCall call, AttemptOutcome outcome) {
        endings.end(call, outcome, null);
    }

    /**
     * The provider cannot use what the consumer sent. Guards the providers: no other will, and it
     * is no failure of this one's, so the module hears of a call that is no longer waited for.
     */
    public void unusable(InvokerCall call) {
        if (call.out() && !call.invocation.answered) {
            endings.answer(call.invocation, false);
            call.invocation.consumer.fail(false);
        }
        endings.end(call, AttemptOutcome.CANCELLED, null);
    }

    public void probed(String providerId, boolean answered) {
        turn.event(now -> module.workerProbed(now, providerId, answered, LoadReport.NONE));
    }

    /**
     * Other settings hold from now on, for the module too. Open invocations keep their deadline and
     * their duplicates.
     */
    public void settings(PolicySettings settings, int most) {
        mostHeld = most;
        mayDuplicate = settings.allowsConcurrentAttempts;
        turn.first(now -> module.settingsChanged(now, settings));
    }

    /** So large a part of what the dispatcher may do is this process's. */
    public void share(double part) {
        turn.first(now -> module.shareChanged(now, part));
    }

    /** Consulted from now on for what may start, and where. */
    public void ability(JobConstraints ability) {
        module.constraintsChanged(ability);
    }

    /** What a new process of this dispatcher is to know of the module's. */
    public List<TransferredFigures> learnt() {
        return module.exportFigures(timers.nowMicros() * NANOS);
    }

    /** Takes over what another process has learnt; the list has been queued. */
    public void learn(List<TransferredFigures> all) {
        turn.first(now -> module.importFigures(now, all));
    }

    public void list(WorkerListForm form, List<WorkerInfo> workers) {
        turn.first(now -> module.workersUpdated(now, form, workers));
    }

    /** An operator has put this worker back; the list that says so has been queued. */
    public void recalled(String providerId) {
        turn.first(now -> module.workerReenabled(now, providerId));
    }

    /** Nothing is owed, under way or waiting to be told. */
    public boolean idle() {
        return open.isEmpty() && !pending();
    }

    /** Events wait for a turn. */
    public boolean pending() {
        return turn.pending();
    }

    // ---- The turn.

    /** Hands over what came in, the list first, and carries out what the module decides. */
    public void turn() {
        turn.take();
        endings.settled(in -> open.remove(in.id, in));
    }
}

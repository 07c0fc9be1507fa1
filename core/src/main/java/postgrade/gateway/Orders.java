package postgrade.gateway;

import java.util.Map;
import java.util.function.Supplier;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.PolicyActions;

/** The module's actions, kept until it has heard all events of the turn. */
final class Orders implements PolicyActions {

    private static final long NANOS = 1_000;

    private final Timers timers;
    private final Faults faults;
    private final Turn turn;
    private final Endings endings;
    private final Map<String, Invocation> open;
    private final Supplier<Providers> providers;
    private final Supplier<DispatchPolicy> module;

    Orders(
            Timers timers,
            Faults faults,
            Turn turn,
            Endings endings,
            Map<String, Invocation> open,
            Supplier<Providers> providers,
            Supplier<DispatchPolicy> module) {
        this.timers = timers;
        this.faults = faults;
        this.turn = turn;
        this.endings = endings;
        this.open = open;
        this.providers = providers;
        this.module = module;
    }

    @Override
    public void startAttempt(String jobId, String workerId, long limitNs) {
        startAttempt(jobId, workerId, limitNs, Long.MAX_VALUE);
    }

    @Override
    public void startAttempt(String jobId, String workerId, long limitNs, long windowNs) {
        turn.action(() -> carryOut(jobId, workerId, limitNs, windowNs));
    }

    @Override
    public void cancelAttempt(String jobId, int attempt) {
        turn.action(
                () -> {
                    Invocation in = open.get(jobId);
                    if (in != null && attempt < in.calls.size()) {
                        endings.giveUp(in.calls.get(attempt), AttemptOutcome.CANCELLED);
                    }
                });
    }

    @Override
    public void reject(String jobId, long retryAfterNs) {
        turn.action(
                () -> {
                    Invocation in = open.get(jobId);
                    if (in != null && !in.answered) {
                        endings.answer(in, false);
                        endings.withdraw(in);
                        in.consumer.reject(retryAfterNs / NANOS);
                    }
                });
    }

    @Override
    public void fail(String jobId) {
        turn.action(
                () -> {
                    Invocation in = open.get(jobId);
                    if (in != null && !in.answered) {
                        endings.failed(in, timers.nowMicros() >= in.deadlineMicros);
                    }
                });
    }

    @Override
    public void probe(String workerId) {
        turn.action(() -> providers.get().probe(workerId));
    }

    @Override
    public void startTimer(String token, long inNs) {
        turn.action(
                () ->
                        timers.at(
                                timers.nowMicros() + (inNs + NANOS - 1) / NANOS,
                                () -> turn.event(now -> module.get().timerFired(now, token))));
    }

    @Override
    public void watchWorkers() {
        // The daemon watches the list from its start on, whether asked to or not.
    }

    private void carryOut(String id, String providerId, long limitNs, long windowNs) {
        Invocation in = open.get(id);
        if (in == null) {
            return;
        }
        long now = timers.nowMicros();
        long until =
                limitNs == 0
                        ? in.deadlineMicros
                        : Math.min(in.deadlineMicros, now + limitNs / NANOS);
        InvokerCall call =
                new InvokerCall(in, in.calls.size(), providerId, until, now + windowNs / NANOS);
        call.beganMicros = now;
        // Also where duplicates are allowed a provider has one call of an invocation at a time.
        boolean second = in.callsOut > 0 && (!in.mayDuplicate || in.callOutAt(providerId) != null);
        in.calls.add(call);
        in.callsOut++;
        // Guards the providers: the consumer's end may have come since the loop last looked, or lie
        // behind other bytes.
        if (second || until <= now || call.unwanted()) {
            if (second) {
                faults.fault(
                        Faults.SECOND_CALL,
                        "the module asked for a second call of a job that has one out; not sent",
                        null);
            }
            endings.end(call, AttemptOutcome.NOT_SENT, null);
            return;
        }
        call.timer = timers.at(until, () -> endings.expire(call));
        call.handle = providers.get().send(call);
    }
}

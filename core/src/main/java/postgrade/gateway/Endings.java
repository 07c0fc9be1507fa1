package postgrade.gateway;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.LoadReport;

/**
 * How calls and invocations end: each call once, each invocation with one final answer, and the
 * module hears of it.
 */
final class Endings {

    private final Timers timers;
    private final Faults faults;
    private final Turn turn;
    private final Supplier<DispatchPolicy> module;
    private final ArrayDeque<Invocation> touched = new ArrayDeque<>();
    Witness witness = Witness.NONE;

    /** Invocations that have no answer yet. */
    int waiting;

    Endings(Timers timers, Faults faults, Turn turn, Supplier<DispatchPolicy> module) {
        this.timers = timers;
        this.faults = faults;
        this.turn = turn;
        this.module = module;
    }

    /** Hands over what may be forgotten: nothing is owed, under way or waiting to be told. */
    void settled(Consumer<Invocation> forget) {
        for (Invocation in = touched.poll(); in != null; in = touched.poll()) {
            if (in.settled()) {
                forget.accept(in);
            }
        }
    }

    /** Queues an event of this invocation, which is remembered until the module has heard it. */
    void tell(Invocation in, LongConsumer event) {
        in.untold++;
        turn.event(
                now -> {
                    in.untold--;
                    touched.add(in);
                    event.accept(now);
                });
    }

    void end(InvokerCall call, AttemptOutcome outcome, byte[] result) {
        if (!call.out()) {
            return;
        }
        Invocation in = call.invocation;
        call.end = outcome;
        in.callsOut--;
        if (call.timer != null) {
            call.timer.cancel();
        }
        witness.ended(in.jobClass, outcome, timers.nowMicros() - call.beganMicros);
        if (outcome == AttemptOutcome.SERVED && !in.answered) {
            answer(in, true);
            in.consumer.serve(result);
        }
        boolean last = in.answered;
        tell(
                in,
                now ->
                        module.get()
                                .attemptFinished(
                                        now, in.id, call.number, outcome, last, LoadReport.NONE));
    }

    /** Marks the one final answer, which the caller gives. */
    void answer(Invocation in, boolean served) {
        witness.answered(in.id, in.jobClass, timers.nowMicros() - in.arrivedMicros, served);
        conclude(in);
    }

    /** Nothing more is owed. */
    void conclude(Invocation in) {
        in.answered = true;
        in.overdue.cancel();
        waiting--;
        touched.add(in);
    }

    /**
     * The final answer to what is not served. Guards the consumers: one whose job no provider has
     * had is told that trying again is harmless. A call that still waits for its connection is
     * withdrawn first.
     */
    void failed(Invocation in, boolean timedOut) {
        answer(in, false);
        withdraw(in);
        if (in.calls.stream().allMatch(InvokerCall::sentNowhere)) {
            in.consumer.reject(Gateway.FULL_RETRY_MICROS);
        } else {
            in.consumer.fail(timedOut);
        }
    }

    /**
     * Takes back the calls of an answered or abandoned invocation that have not been written whole.
     * Guards the providers, in the moment in which nobody waits any more: the module's own cancel
     * comes later in the turn, or never where calls may not be cancelled, and a connection may come
     * up before it.
     */
    void withdraw(Invocation in) {
        for (InvokerCall call : in.calls) {
            if (call.out() && call.handle != null && !call.handle.written()) {
                call.handle.giveUp(() -> {});
                end(call, AttemptOutcome.NOT_SENT, null);
            }
        }
    }

    void overdue(Invocation in) {
        if (!in.answered) {
            faults.fault(
                    Faults.LEFT_UNANSWERED,
                    "the module left a job of class "
                            + in.jobClass
                            + " unanswered at its deadline; failed here",
                    null);
            failed(in, true);
            tell(in, now -> module.get().clientLeft(now, in.id));
        }
    }

    void expire(InvokerCall call) {
        if (call.out() && timers.nowMicros() >= call.invocation.deadlineMicros) {
            // The module owes the answer now and can send no more, so it need not wait for the
            // provider.
            AttemptOutcome as =
                    call.handle.written() ? AttemptOutcome.TIMEOUT : AttemptOutcome.NOT_SENT;
            call.handle.giveUp(() -> {});
            end(call, as, null);
        } else {
            call.timer = timers.at(call.invocation.deadlineMicros, () -> expire(call));
            giveUp(call, AttemptOutcome.TIMEOUT);
        }
    }

    /**
     * Guards against two calls out: the module hears, and may send again, only after the call is
     * given up.
     */
    void giveUp(InvokerCall call, AttemptOutcome as) {
        if (call.out() && !call.givingUp) {
            call.givingUp = true;
            call.handle.giveUp(() -> end(call, as, null));
        }
    }
}

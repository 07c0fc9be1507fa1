package postgrade.worker;

import java.util.function.Consumer;
import postgrade.dispatch.Attempt;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndEvidence.Kind;
import postgrade.dispatch.RequestPayload;
import postgrade.dispatch.RequestTracker;
import postgrade.dispatch.Timers;
import postgrade.dispatch.WireRecord;
import postgrade.dispatch.WorkerTransport;
import postgrade.http.Message;
import postgrade.http.MessageWriter;
import postgrade.policy.api.AttemptOutcome;

/** One attempt at a worker, and how far it has come on the wire. */
final class Call extends Request implements WorkerTransport.AttemptHandle {

    /**
     * An attempt ended by its call-back leaves its connection once the 202 comes, which is due by
     * then.
     */
    private static final long ANSWER_MICROS = 1_000_000;

    /** A 202 that was on its way when the attempt was given up has come by then. */
    private static final long CROSSING_MICROS = 100_000;

    private final RequestTracker tracker;
    private final Timers timers;
    private final Pool pool;
    private final Attempt attempt;
    private final String fence;
    private final CancellationTracker cancellations;
    private final EndProof proof = new EndProof();
    private CallState state = CallState.OUT;
    private boolean accepted;
    private boolean reached;
    private boolean reportedStart;
    private final WireTimes wire = new WireTimes();

    /** Not null from the state {@link CallState#GIVING_UP} on. */
    private Cancellation cancellation;

    /**
     * @param fence the claim it goes with, or null
     * @param cancellations counts those that are being given up
     */
    Call(
            RequestTracker tracker,
            Timers timers,
            Pool pool,
            Attempt attempt,
            String fence,
            CancellationTracker cancellations) {
        super(attempt.payload().body());
        this.tracker = tracker;
        this.timers = timers;
        this.pool = pool;
        this.attempt = attempt;
        this.fence = fence;
        this.cancellations = cancellations;
    }

    /** False, and nothing changes, where the one does not follow the other. */
    private boolean to(CallState next) {
        boolean follows = state.mayBecome(next);
        if (follows) {
            state = next;
        }
        return follows;
    }

    @Override
    byte[] head() {
        RequestPayload p = attempt.payload();
        return MessageWriter.request(p.method(), p.target())
                .header("Host", pool.host())
                .header("X-Request-Id", attempt.id())
                .header("X-Fence", fence)
                .header("X-Deadline", attempt.timeLeftMicros(timers.nowMicros()) + "u")
                .header("Idempotency-Key", p.idempotencyKey())
                .header("Content-Type", p.contentType())
                .headFor(p.body());
    }

    @Override
    boolean isNewWork() {
        return true;
    }

    @Override
    boolean isLate(long nowMicros) {
        return nowMicros > attempt.writeDeadlineMicros() || attempt.isUnwanted();
    }

    /**
     * The wire or a call-back has told of the end: what is still asked of the worker is asked no
     * more.
     */
    private boolean over() {
        if (!to(CallState.ENDED)) {
            return false;
        }
        if (cancellation == null) {
            pool.users--;
        }
        return true;
    }

    private void end(AttemptOutcome outcome, EndEvidence evidence) {
        if (over()) {
            tracker.attemptEnded(attempt, outcome, evidence);
            stopGivingUp();
        }
    }

    private void stopGivingUp() {
        if (cancellation != null) {
            cancellation.stop();
        }
    }

    @Override
    void answered(Message response) {
        WorkerAnswer answer = WorkerAnswer.of(response);
        if (answer == WorkerAnswer.ACCEPTED) {
            taken();
        } else if (!proof.answersNameIt()) {
            // Guards against a late answer of an earlier exchange on the same connection: it says
            // nothing of this job.
            doubtAnswer(answer);
        } else if (answer == WorkerAnswer.UNKNOWN) {
            settle();
            doubt(evidence -> tracker.attemptEnded(attempt, answer.outcome(), evidence), null);
        } else if (over()) {
            tellEnd(answer, answer.outcome(), EndEvidence.answered(response.status()));
            stopGivingUp();
        }
    }

    private void tellEnd(WorkerAnswer answer, AttemptOutcome outcome, EndEvidence evidence) {
        if (answer == WorkerAnswer.UNUSABLE) {
            tracker.requestUnusable(attempt, evidence);
        } else {
            tracker.attemptEnded(attempt, outcome, evidence);
        }
    }

    /** Its end comes by a call-back, or by the answer to a DELETE written from now on. */
    private void taken() {
        accepted = true;
        wire.accepted(timers.nowMicros());
        to(CallState.TAKEN);
        if (proof.answersNameIt()) {
            settle();
        } else if (cancellation != null) {
            settleOnceRested();
        }
    }

    /**
     * A 202 on a connection used before may be another exchange's as well: it counts if no other
     * answer comes while the connection rests.
     */
    private void settleOnceRested() {
        long restedMicros = wire.acceptedMicros() + FreeLinks.REST_MICROS;
        if (timers.nowMicros() >= restedMicros) {
            settle();
        } else {
            timers.at(restedMicros, this::settle);
        }
    }

    /**
     * An answer that may be another exchange's. The job is given up before the policy hears, by a
     * DELETE behind it on the same connection, as long as that is open.
     */
    private void doubtAnswer(WorkerAnswer answer) {
        if (answeredOn == null) {
            settle();
        }
        if (state == CallState.GIVING_UP && answeredOn != null) {
            cancellation.sendInOrder(answeredOn);
        } else {
            doubt(evidence -> tellEnd(answer, outcomeInDoubt(answer), evidence), answeredOn);
        }
    }

    /**
     * Guards what must not run twice: that a job never ran is believed only where its answer was
     * shown to be its own, and nothing has said that it began.
     */
    private AttemptOutcome outcomeInDoubt(WorkerAnswer answer) {
        boolean believed = cancellation.wasProvedInOrder() && !reportedStart;
        return answer == WorkerAnswer.NEVER_RAN && !believed
                ? AttemptOutcome.RESET
                : answer.outcome();
    }

    /** What came as the answer was not the only one, so it may have been another exchange's. */
    @Override
    void contradicted() {
        proof.contradict(); // Its connection is over with that.
        if (cancellation != null) {
            cancellation.settled();
        }
    }

    @Override
    public void startedByReport() {
        reportedStart = true;
    }

    @Override
    void broken(Break how) {
        switch (how) {
            case NO_SOCKET -> end(AttemptOutcome.NO_SOCKET, EndEvidence.of(Kind.NO_SOCKET));
            case NEVER_WRITTEN -> end(AttemptOutcome.UNREACHABLE, EndEvidence.of(neverWritten()));
            case DRAINED -> end(AttemptOutcome.NOT_SENT, EndEvidence.of(Kind.WORKER_NOT_READY));
            case TOO_LATE -> end(AttemptOutcome.NOT_SENT, EndEvidence.of(whyLate()));
            // A 202 may have come and gone with the connection, after which a break ends nothing.
            case AFTER_LAST_BYTE, IN_ANSWER -> {
                settle();
                doubt(
                        evidence -> tracker.attemptEnded(attempt, AttemptOutcome.RESET, evidence),
                        null);
            }
        }
    }

    /** The worker has the job, or cannot get it any more. */
    private void settle() {
        proof.settle();
        if (cancellation != null) {
            cancellation.settled();
        }
    }

    /**
     * What came does not tell whether the worker has taken the job. Guards against a second attempt
     * beside one that runs: it is given up on the wire before the policy hears. One that is being
     * given up goes on with that.
     */
    private void doubt(Consumer<EndEvidence> ended, Link behind) {
        reached = true;
        if (to(CallState.GIVING_UP)) {
            dropBy(ended, behind);
        }
    }

    @Override
    public boolean isWritten() {
        return accepted || reached || super.written();
    }

    @Override
    public boolean mayReport() {
        return accepted || reached;
    }

    @Override
    public void endedByReport() {
        if (over()) {
            stopGivingUp();
            leave();
        }
    }

    /**
     * The attempt is over though its request may be under way: its connection is freed by the 202.
     */
    private void leave() {
        if (!over && link == null) {
            pool.withdraw(this);
        } else if (link != null) {
            timers.at(
                    timers.nowMicros() + ANSWER_MICROS,
                    () -> {
                        if (link != null) {
                            link.abort();
                        }
                    });
        }
    }

    @Override
    public WireRecord wireRecord() {
        return wire.toRecord();
    }

    @Override
    void carriedBy(Link carrier) {
        wire.written(timers.nowMicros(), carrier);
        proof.written(carrier.carried);
    }

    private Kind neverWritten() {
        return !wire.wasWritten() ? Kind.NOT_CONNECTED : Kind.NOT_WRITTEN;
    }

    private Kind whyLate() {
        return attempt.isUnwanted() ? Kind.UNWANTED : Kind.WRITE_WINDOW_OVER;
    }

    @Override
    public void cancel(Consumer<EndEvidence> done) {
        if (state == CallState.GIVING_UP || state == CallState.ENDED) {
            return;
        }
        if (!isWritten()) {
            if (link == null) {
                pool.withdraw(this);
            } else {
                link.abort(); // In part: without its last byte it never begins.
            }
            over();
            done.accept(EndEvidence.of(Kind.NOT_WRITTEN));
            return;
        }
        to(CallState.GIVING_UP);
        reached = true;
        dropBy(done, null);
        if (link != null) {
            // Guards against a 202 that crosses: with it the job runs, and only the answer to the
            // DELETE ends that.
            timers.at(timers.nowMicros() + CROSSING_MICROS, this::closeUntaken);
        }
    }

    /**
     * @param behind the link on which the DELETE is to follow the job, or null for any
     */
    private void dropBy(Consumer<EndEvidence> done, Link behind) {
        wire.cancelled(timers.nowMicros());
        cancellation =
                new Cancellation(
                        timers,
                        pool,
                        attempt,
                        proof,
                        cancellations,
                        evidence -> {
                            to(CallState.ENDED);
                            done.accept(evidence);
                            if (link != null) {
                                link.abort(); // Nothing is awaited on it any more.
                            }
                        });
        if (accepted && !proof.isSettled()) {
            settleOnceRested();
        }
        if (behind != null) {
            cancellation.sendInOrder(behind);
        } else {
            cancellation.send();
        }
    }

    /**
     * A close before the 202 gives up by itself. But the 202 may be on its way just then, so the
     * close alone counts only at a worker that has said nothing since it was sent the job; from any
     * other its answer to a DELETE is due.
     */
    private void closeUntaken() {
        if (link != null && state == CallState.GIVING_UP) {
            boolean untaken = !link.answerBegan();
            link.abort();
            if (untaken && !pool.heardSince(wire.writtenMicros())) {
                cancellation.finish(EndEvidence.of(Kind.CLOSED));
            } else {
                settle();
            }
        }
    }
}

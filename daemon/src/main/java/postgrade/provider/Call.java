package postgrade.provider;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import postgrade.dispatch.Attempt;
import postgrade.dispatch.ConnectionUse;
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

/** One call to a provider, and how far it has come on the wire. */
final class Call extends Request implements WorkerTransport.AttemptHandle {

    /** How far it has come. What follows what stands in {@link #NEXT} alone. */
    enum State {
        /**
         * Waits for a connection or for its answer: {@link #link} and what has been written tell
         * which.
         */
        OUT,
        /** The provider has answered 202, and its call-back is awaited. */
        TAKEN,
        /** The provider may have it, and is being told to drop it. */
        GIVING_UP,
        ENDED
    }

    static final Map<State, Set<State>> NEXT =
            Map.of(
                    State.OUT, EnumSet.of(State.TAKEN, State.GIVING_UP, State.ENDED),
                    State.TAKEN, EnumSet.of(State.GIVING_UP, State.ENDED),
                    State.GIVING_UP, EnumSet.of(State.ENDED),
                    State.ENDED, EnumSet.noneOf(State.class));

    /**
     * A call ended by its call-back leaves its connection once the 202 comes, which is due by then.
     */
    private static final long ANSWER_MICROS = 1_000_000;

    /** A 202 that was on its way when the call was given up has come by then. */
    private static final long CROSSING_MICROS = 100_000;

    private final RequestTracker gateway;
    private final Timers timers;
    private final Pool pool;
    private final Attempt call;
    private final String fence;
    private final IntConsumer givingUp;
    private final EndProof proof = new EndProof();
    private State state = State.OUT;
    private boolean accepted;
    private boolean reached;
    private boolean reportedStart;
    private long writtenMicros = WireRecord.NEVER;
    private long acceptedMicros = WireRecord.NEVER;
    private long cancelledMicros = WireRecord.NEVER;
    private ConnectionUse connection;

    /** What a doubtful answer said, until the doubt is settled. */
    private AttemptOutcome inDoubt;

    /** Not null from the state {@link State#GIVING_UP} on. */
    private GiveUp giveUp;

    /**
     * @param fence the claim it goes with, or null
     * @param givingUp counts those that are being given up
     */
    Call(
            RequestTracker gateway,
            Timers timers,
            Pool pool,
            Attempt call,
            String fence,
            IntConsumer givingUp) {
        super(call.payload().body());
        this.gateway = gateway;
        this.timers = timers;
        this.pool = pool;
        this.call = call;
        this.fence = fence;
        this.givingUp = givingUp;
    }

    /** False, and nothing changes, where the one does not follow the other. */
    private boolean to(State next) {
        boolean follows = NEXT.get(state).contains(next);
        if (follows) {
            state = next;
        }
        return follows;
    }

    @Override
    byte[] head() {
        RequestPayload p = call.payload();
        return MessageWriter.request(p.method(), p.target())
                .header("Host", pool.host())
                .header("X-Request-Id", call.id())
                .header("X-Fence", fence)
                .header("X-Deadline", call.timeLeftMicros(timers.nowMicros()) + "u")
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
        return nowMicros > call.writeByMicros() || call.isUnwanted();
    }

    /**
     * The wire or a call-back has told of the end: what is still asked of the provider is asked no
     * more.
     */
    private boolean over() {
        if (!to(State.ENDED)) {
            return false;
        }
        if (giveUp == null) {
            pool.users--;
        }
        return true;
    }

    private void end(AttemptOutcome outcome, EndEvidence evidence) {
        if (over()) {
            gateway.attemptEnded(call, outcome, evidence);
            stopGivingUp();
        }
    }

    private void stopGivingUp() {
        if (giveUp != null) {
            giveUp.stop();
        }
    }

    @Override
    void answered(Message response) {
        int status = response.status();
        if (status == 202) {
            taken();
        } else if (!proof.answersNameIt()) {
            // Guards against a late answer of an earlier exchange on the same connection: it says
            // nothing of this job.
            doubtAnswer(status, outcomeOf(response));
        } else if (isUnusable(status)) {
            unusable(EndEvidence.answered(status));
        } else if (isKnownFailure(status)) {
            end(outcomeOf(response), EndEvidence.answered(status));
        } else {
            // No answer that the protocol knows: the job may run, or may yet.
            settle();
            doubt(AttemptOutcome.ERROR);
        }
    }

    /** Its end comes by a call-back, or by the answer to a DELETE written from now on. */
    private void taken() {
        accepted = true;
        acceptedMicros = timers.nowMicros();
        to(State.TAKEN);
        settle();
    }

    private static boolean isKnownFailure(int status) {
        return status == 500 || status == 503 || status == 504;
    }

    private static boolean isUnusable(int status) {
        return status / 100 == 4 && status != 408 && status != 429;
    }

    private static AttemptOutcome outcomeOf(Message response) {
        boolean neverRan = "1".equals(response.header("x-not-run"));
        boolean mayBeFull = response.status() == 503 || response.status() == 504;
        return neverRan && mayBeFull ? AttemptOutcome.FULL : AttemptOutcome.ERROR;
    }

    private void unusable(EndEvidence evidence) {
        if (over()) {
            gateway.requestUnusable(call, evidence);
            stopGivingUp();
        }
    }

    /**
     * An answer that may be another exchange's. The job is given up before the policy hears, by a
     * DELETE behind it on the same connection, as long as that is open.
     */
    private void doubtAnswer(int status, AttemptOutcome outcome) {
        inDoubt = outcome;
        if (answeredOn == null) {
            settle();
        }
        if (state == State.GIVING_UP) {
            if (answeredOn != null) {
                giveUp.sendInOrder(answeredOn);
            }
        } else if (isUnusable(status)) {
            doubt(evidence -> gateway.requestUnusable(call, evidence), answeredOn);
        } else {
            doubt(evidence -> gateway.attemptEnded(call, outcomeInDoubt(), evidence), answeredOn);
        }
    }

    /**
     * Guards what must not run twice: that a job never ran is believed only where its answer was
     * shown to be its own, and nothing has said that it began.
     */
    private AttemptOutcome outcomeInDoubt() {
        boolean believed = giveUp.wasProvedInOrder() && !reportedStart;
        return inDoubt == AttemptOutcome.FULL && !believed ? AttemptOutcome.RESET : inDoubt;
    }

    /** What came as the answer was not the only one, so it may have been another exchange's. */
    @Override
    void contradicted() {
        if (state == State.GIVING_UP) {
            proof.contradict();
            giveUp.settled();
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
                doubt(AttemptOutcome.RESET);
            }
        }
    }

    /** The worker has the job, or cannot get it any more. */
    private void settle() {
        proof.settle();
        if (giveUp != null) {
            giveUp.settled();
        }
    }

    private void doubt(AttemptOutcome as) {
        doubt(evidence -> gateway.attemptEnded(call, as, evidence), null);
    }

    /**
     * What came does not tell whether the worker has taken the job. Guards against a second attempt
     * beside one that runs: it is given up on the wire before the policy hears. One that is being
     * given up goes on with that.
     */
    private void doubt(Consumer<EndEvidence> ended, Link behind) {
        reached = true;
        if (to(State.GIVING_UP)) {
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

    /** The call is over though its request may be under way: its connection is freed by the 202. */
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
        return new WireRecord(writtenMicros, acceptedMicros, cancelledMicros, connection);
    }

    @Override
    void carriedBy(Link carrier) {
        writtenMicros = timers.nowMicros();
        connection =
                new ConnectionUse(
                        writtenMicros - carrier.upMicros, carrier.idleMicros, carrier.carried);
        proof.written(carrier.carried);
    }

    private Kind neverWritten() {
        return connection == null ? Kind.NOT_CONNECTED : Kind.NOT_WRITTEN;
    }

    private Kind whyLate() {
        return call.isUnwanted() ? Kind.UNWANTED : Kind.WRITE_WINDOW_OVER;
    }

    @Override
    public void cancel(Consumer<EndEvidence> done) {
        if (state == State.GIVING_UP || state == State.ENDED) {
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
        to(State.GIVING_UP);
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
        cancelledMicros = timers.nowMicros();
        giveUp =
                new GiveUp(
                        timers,
                        pool,
                        call,
                        proof,
                        givingUp,
                        evidence -> {
                            to(State.ENDED);
                            done.accept(evidence);
                            if (link != null) {
                                link.abort(); // Nothing is awaited on it any more.
                            }
                        });
        if (behind != null) {
            giveUp.sendInOrder(behind);
        } else {
            giveUp.send();
        }
    }

    /**
     * A close before the 202 gives up by itself. But the 202 may be on its way just then, so the
     * close alone counts only at a worker that has said nothing since it was sent the job; from any
     * other its answer to a DELETE is due.
     */
    private void closeUntaken() {
        if (link != null && state == State.GIVING_UP) {
            boolean untaken = !link.answerBegan();
            link.abort();
            if (untaken && !pool.heardSince(writtenMicros)) {
                giveUp.finish(EndEvidence.of(Kind.CLOSED));
            } else {
                settle();
            }
        }
    }
}

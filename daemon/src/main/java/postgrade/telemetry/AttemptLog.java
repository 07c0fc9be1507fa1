package postgrade.telemetry;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import postgrade.dispatch.AnsweredRequest;
import postgrade.dispatch.EndedAttempt;
import postgrade.dispatch.ReportedState;
import postgrade.dispatch.RequestObserver;
import postgrade.dispatch.Timers;
import postgrade.dispatch.WireRecord;
import postgrade.log.Events;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;

/**
 * Logs attempts that do not end with a result, further attempts, and answers that follow an attempt
 * without being its result, and counts all ends by cause. A job that is served at its first attempt
 * is not logged.
 */
public final class AttemptLog implements RequestObserver {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptLog.class);

    /** The interval at which the counters are logged, if they have changed. */
    private static final long COUNTS_MICROS = 10_000_000;

    private final Timers timers;
    private final AttemptCounters counters = new AttemptCounters();
    private final RecentlyEndedAttempts recentlyEnded = new RecentlyEndedAttempts();
    private final LogRateLimiter rateLimiter = new LogRateLimiter();
    private long loggedTotal;

    /** Creates the log and starts the periodic logging of the counters. */
    public AttemptLog(Timers timers) {
        this.timers = timers;
        scheduleCounts();
    }

    private void scheduleCounts() {
        timers.at(timers.nowMicros() + COUNTS_MICROS, this::countsDue);
    }

    private void countsDue() {
        logCounts();
        scheduleCounts();
    }

    /** Logs the counters, unless nothing has been counted since the last time. */
    public void logCounts() {
        if (counters.total() == loggedTotal) {
            return;
        }
        loggedTotal = counters.total();
        Events.info(LOG, "attempts.counts")
                .addKeyValue("ends", counters.endsText())
                .addKeyValue("answers", counters.answersText())
                .addKeyValue("cancels", counters.cancelsText())
                .addKeyValue("repeated", counters.repeatedAttempts())
                .addKeyValue("unmatched_reports", counters.unmatchedReports())
                .addKeyValue("contradicted_ends", counters.contradictedEnds())
                .addKeyValue("lines_suppressed", rateLimiter.suppressed())
                .log(
                        "attempts ended: "
                                + counters.endsText()
                                + "; answers: "
                                + counters.answersText()
                                + "; cancelled: "
                                + counters.cancelsText()
                                + "; repeated "
                                + counters.repeatedAttempts()
                                + ", call-backs without an attempt in flight "
                                + counters.unmatchedReports()
                                + ", contradicted ends "
                                + counters.contradictedEnds()
                                + ", lines suppressed "
                                + rateLimiter.suppressed());
    }

    @Override
    public void attemptEnded(EndedAttempt ended) {
        counters.ended(ended);
        recentlyEnded.add(ended);
        if (ended.outcome() != AttemptOutcome.SERVED
                && rateLimiter.tryAcquire(timers.nowMicros())) {
            Timeline timeline = Timeline.of(ended);
            timeline.addTo(Events.info(LOG, "attempt.ended"))
                    .log(describe(ended) + " ended " + timeline.toText());
        }
    }

    @Override
    public void attemptRepeated(String requestId, String workerId, int number) {
        counters.repeated();
        if (rateLimiter.tryAcquire(timers.nowMicros())) {
            Events.info(LOG, "attempt.repeated")
                    .addKeyValue("request", requestId)
                    .addKeyValue("attempt", number)
                    .addKeyValue("worker", workerId)
                    .log(describe(requestId, number, workerId) + " begins");
        }
    }

    @Override
    public void attemptCancelled(
            String requestId, String workerId, int number, DecisionReason reason) {
        counters.cancelled(reason);
        if (rateLimiter.tryAcquire(timers.nowMicros())) {
            Events.info(LOG, "attempt.cancelled")
                    .addKeyValue("request", requestId)
                    .addKeyValue("attempt", number)
                    .addKeyValue("worker", workerId)
                    .addKeyValue("reason", reason)
                    .log(describe(requestId, number, workerId) + " is cancelled: " + reason);
        }
    }

    @Override
    public void requestAnswered(AnsweredRequest answered) {
        counters.answered(answered);
        boolean hasNoResult = !answered.isServed() && answered.attempts() > 0;
        if (hasNoResult && rateLimiter.tryAcquire(timers.nowMicros())) {
            Events.info(LOG, "request.answered")
                    .addKeyValue("request", answered.requestId())
                    .addKeyValue("answer", answered.answer())
                    .addKeyValue("reason", answered.reason())
                    .addKeyValue("attempts", answered.attempts())
                    .addKeyValue("after_us", answered.afterMicros())
                    .log(
                            "request "
                                    + answered.requestId()
                                    + " "
                                    + answered.answer()
                                    + " with reason "
                                    + answered.reason()
                                    + " after "
                                    + answered.attempts()
                                    + " attempts and "
                                    + answered.afterMicros()
                                    + " us");
        }
    }

    @Override
    public void reportUnmatched(String requestId, String workerId, ReportedState state) {
        counters.reportUnmatched();
        EndedAttempt ended = recentlyEnded.find(requestId, workerId);
        if (ended == null) {
            return;
        }
        counters.endContradicted();
        if (rateLimiter.tryAcquire(timers.nowMicros())) {
            long afterMicros = timers.nowMicros() - ended.endedMicros();
            Timeline timeline = Timeline.of(ended);
            LoggingEventBuilder line =
                    Events.warn(LOG, "attempt.reported-after-end")
                            .addKeyValue("state", state)
                            .addKeyValue("after_us", afterMicros);
            timeline.addTo(line)
                    .log(
                            describe(ended)
                                    + " is reported "
                                    + state
                                    + " by its worker "
                                    + afterMicros
                                    + " us after it was considered ended as "
                                    + timeline.toText());
        }
    }

    private static String describe(EndedAttempt ended) {
        return describe(ended.requestId(), ended.number(), ended.workerId());
    }

    private static String describe(String requestId, int number, String workerId) {
        return "attempt " + number + " of " + requestId + " at " + workerId;
    }

    /** The times of an attempt, as fields and as text, relative to its beginning. */
    private record Timeline(EndedAttempt ended, WireRecord wire) {

        static Timeline of(EndedAttempt ended) {
            return new Timeline(ended, ended.wire());
        }

        private long microsSinceBegin(long micros) {
            return micros == WireRecord.NEVER ? WireRecord.NEVER : micros - ended.beganMicros();
        }

        LoggingEventBuilder addTo(LoggingEventBuilder line) {
            line =
                    line.addKeyValue("request", ended.requestId())
                            .addKeyValue("attempt", ended.number())
                            .addKeyValue("worker", ended.workerId())
                            .addKeyValue("outcome", ended.outcome())
                            .addKeyValue("evidence", ended.evidence().kind())
                            .addKeyValue("status", ended.evidence().status())
                            .addKeyValue("written_us", microsSinceBegin(wire.writtenMicros()))
                            .addKeyValue("accepted_us", microsSinceBegin(wire.acceptedMicros()))
                            .addKeyValue(
                                    "started_us", microsSinceBegin(ended.reportedStartMicros()))
                            .addKeyValue("cancelled_us", microsSinceBegin(wire.cancelledMicros()))
                            .addKeyValue(
                                    "output_ended_us", microsSinceBegin(wire.outputEndedMicros()))
                            .addKeyValue(
                                    "worker_ended_us", microsSinceBegin(wire.workerEndedMicros()))
                            .addKeyValue("ended_us", microsSinceBegin(ended.endedMicros()));
            if (wire.connection() != null) {
                line =
                        line.addKeyValue("connection_age_us", wire.connection().ageMicros())
                                .addKeyValue("connection_idle_us", wire.connection().idleMicros())
                                .addKeyValue(
                                        "connection_exchanges",
                                        wire.connection().earlierExchanges());
            }
            return line;
        }

        String toText() {
            StringBuilder text = new StringBuilder(160);
            text.append(ended.outcome()).append(" by ").append(ended.evidence().kind());
            if (ended.evidence().status() != 0) {
                text.append(' ').append(ended.evidence().status());
            }
            appendTime(text, "written", wire.writtenMicros());
            appendTime(text, "accepted", wire.acceptedMicros());
            appendTime(text, "started", ended.reportedStartMicros());
            appendTime(text, "cancelled", wire.cancelledMicros());
            appendTime(text, "our side ended", wire.outputEndedMicros());
            appendTime(text, "worker's side ended", wire.workerEndedMicros());
            appendTime(text, "ended", ended.endedMicros());
            if (wire.connection() != null) {
                text.append(", connection ")
                        .append(wire.connection().ageMicros())
                        .append(" us old, idle ")
                        .append(wire.connection().idleMicros())
                        .append(" us, earlier exchanges ")
                        .append(wire.connection().earlierExchanges());
            }
            return text.toString();
        }

        private void appendTime(StringBuilder text, String label, long micros) {
            if (micros != WireRecord.NEVER) {
                text.append(", ")
                        .append(label)
                        .append(" +")
                        .append(microsSinceBegin(micros))
                        .append(" us");
            }
        }
    }
}

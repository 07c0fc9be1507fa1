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
 * Logs each attempt that does not end with its result, each further attempt and each answer that
 * follows an attempt without being its result, and counts all ends by cause. A job that is served
 * at its first attempt costs no line.
 */
public final class AttemptLog implements RequestObserver {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptLog.class);

    /** The counters are logged this often, if something has been counted since. */
    private static final long COUNTS_MICROS = 10_000_000;

    private final Timers timers;
    private final EndCounters counters = new EndCounters();
    private final RecentEnds recentEnds = new RecentEnds();
    private final LineBudget lines = new LineBudget();
    private long loggedTotal;

    /** Begins to log the counters at times. */
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
                .addKeyValue("lines_suppressed", lines.suppressed())
                .log(
                        "attempts ended: "
                                + counters.endsText()
                                + "; answers: "
                                + counters.answersText()
                                + "; cancelled: "
                                + counters.cancelsText()
                                + "; repeated "
                                + counters.repeatedAttempts()
                                + ", call-backs for none out "
                                + counters.unmatchedReports()
                                + ", contradicted ends "
                                + counters.contradictedEnds()
                                + ", lines left out "
                                + lines.suppressed());
    }

    @Override
    public void attemptEnded(EndedAttempt ended) {
        counters.ended(ended);
        recentEnds.add(ended);
        if (ended.outcome() != AttemptOutcome.SERVED && lines.spend(timers.nowMicros())) {
            Course course = Course.of(ended);
            course.addTo(Events.info(LOG, "attempt.ended"))
                    .log(name(ended) + " ended " + course.text());
        }
    }

    @Override
    public void attemptRepeated(String requestId, String workerId, int number) {
        counters.repeated();
        if (lines.spend(timers.nowMicros())) {
            Events.info(LOG, "attempt.repeated")
                    .addKeyValue("request", requestId)
                    .addKeyValue("attempt", number)
                    .addKeyValue("worker", workerId)
                    .log(name(requestId, number, workerId) + " begins");
        }
    }

    @Override
    public void attemptCancelled(
            String requestId, String workerId, int number, DecisionReason reason) {
        counters.cancelled(reason);
        if (lines.spend(timers.nowMicros())) {
            Events.info(LOG, "attempt.cancelled")
                    .addKeyValue("request", requestId)
                    .addKeyValue("attempt", number)
                    .addKeyValue("worker", workerId)
                    .addKeyValue("reason", reason)
                    .log(name(requestId, number, workerId) + " is cancelled: " + reason);
        }
    }

    @Override
    public void requestAnswered(AnsweredRequest answered) {
        counters.answered(answered);
        boolean unusual = !answered.isServed() && answered.attempts() > 0;
        if (unusual && lines.spend(timers.nowMicros())) {
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
                                    + " for "
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
        EndedAttempt ended = recentEnds.find(requestId, workerId);
        if (ended == null) {
            return;
        }
        counters.endContradicted();
        if (lines.spend(timers.nowMicros())) {
            long afterMicros = timers.nowMicros() - ended.endedMicros();
            Course course = Course.of(ended);
            LoggingEventBuilder line =
                    Events.warn(LOG, "attempt.reported-after-end")
                            .addKeyValue("state", state)
                            .addKeyValue("after_us", afterMicros);
            course.addTo(line)
                    .log(
                            name(ended)
                                    + " is reported "
                                    + state
                                    + " by its worker "
                                    + afterMicros
                                    + " us after it was taken for ended "
                                    + course.text());
        }
    }

    private static String name(EndedAttempt ended) {
        return name(ended.requestId(), ended.number(), ended.workerId());
    }

    private static String name(String requestId, int number, String workerId) {
        return "attempt " + number + " of " + requestId + " at " + workerId;
    }

    /** How an attempt went, as fields and as text. Times count from its beginning. */
    private record Course(EndedAttempt ended, WireRecord wire) {

        static Course of(EndedAttempt ended) {
            return new Course(ended, ended.wire());
        }

        private long since(long micros) {
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
                            .addKeyValue("written_us", since(wire.writtenMicros()))
                            .addKeyValue("accepted_us", since(wire.acceptedMicros()))
                            .addKeyValue("started_us", since(ended.reportedStartMicros()))
                            .addKeyValue("cancelled_us", since(wire.cancelledMicros()))
                            .addKeyValue("ended_us", since(ended.endedMicros()));
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

        String text() {
            StringBuilder text = new StringBuilder(160);
            text.append(ended.outcome()).append(" by ").append(ended.evidence().kind());
            if (ended.evidence().status() != 0) {
                text.append(' ').append(ended.evidence().status());
            }
            time(text, "written", wire.writtenMicros());
            time(text, "accepted", wire.acceptedMicros());
            time(text, "started", ended.reportedStartMicros());
            time(text, "cancelled", wire.cancelledMicros());
            time(text, "ended", ended.endedMicros());
            if (wire.connection() != null) {
                text.append(", connection ")
                        .append(wire.connection().ageMicros())
                        .append(" us old, idle ")
                        .append(wire.connection().idleMicros())
                        .append(" us, exchanges before ")
                        .append(wire.connection().earlierExchanges());
            }
            return text.toString();
        }

        private void time(StringBuilder text, String what, long micros) {
            if (micros != WireRecord.NEVER) {
                text.append(", ").append(what).append(" +").append(since(micros)).append(" us");
            }
        }
    }
}

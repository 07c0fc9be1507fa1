package postgrade.telemetry;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import postgrade.discovery.ManualEventLoop;
import postgrade.dispatch.AnsweredRequest;
import postgrade.dispatch.ConnectionUse;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndedAttempt;
import postgrade.dispatch.ReportedState;
import postgrade.dispatch.WireRecord;
import postgrade.log.EventLogs;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;

/** What is written of attempts, and what is only counted. */
public class AttemptLogTest {

    private static final long BEGAN = 1_000;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final ManualEventLoop hand = new ManualEventLoop();
    private AttemptLog log;

    public AttemptLogTest() throws IOException {}

    @Before
    public void begin() {
        EventLogs.setOutput(new PrintStream(written, true, StandardCharsets.UTF_8));
        log = new AttemptLog(hand);
    }

    @After
    public void end() {
        EventLogs.setOutput(System.err);
    }

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static EndedAttempt ended(AttemptOutcome outcome, EndEvidence evidence) {
        WireRecord wire =
                new WireRecord(
                        BEGAN + 40,
                        WireRecord.NEVER,
                        WireRecord.NEVER,
                        new ConnectionUse(900, 30, 2));
        return new EndedAttempt(
                "job-1",
                "price",
                1,
                "w1",
                outcome,
                evidence,
                BEGAN,
                WireRecord.NEVER,
                BEGAN + 70,
                wire);
    }

    @Test
    public void aJobServedAtOnceHasNoLine() {
        log.attemptEnded(ended(AttemptOutcome.SERVED, EndEvidence.REPORTED));
        log.requestAnswered(
                new AnsweredRequest(
                        "job-1",
                        "price",
                        AnsweredRequest.Answer.SERVED,
                        70,
                        1,
                        DecisionReason.UNSTATED));
        assertTrue(lines().isEmpty());
        log.logCounts();
        assertTrue(lines().get(0), lines().get(0).contains("served/reported=1"));
    }

    @Test
    public void anotherEndIsToldWithItsCourseAndItsConnection() {
        log.attemptEnded(ended(AttemptOutcome.ERROR, EndEvidence.answered(500)));
        String line = lines().get(0);
        assertTrue(
                line,
                line.endsWith(
                        "attempt 1 of job-1 at w1 ended ERROR by ANSWERED 500, written +40 us, ended"
                                + " +70 us, connection 900 us old, idle 30 us, exchanges before 2"));
    }

    @Test
    public void aCallBackForAnAttemptTakenForEndedIsToldAndCounted() {
        log.attemptEnded(ended(AttemptOutcome.RESET, EndEvidence.of(EndEvidence.Kind.BROKEN)));
        log.reportUnmatched("job-1", "w1", ReportedState.DONE);
        log.reportUnmatched("job-1", "w2", ReportedState.DONE);
        assertEquals(2, lines().size());
        assertTrue(lines().get(1), lines().get(1).contains("WARNING attempt 1 of job-1 at w1"));
        log.logCounts();
        assertTrue(lines().get(2), lines().get(2).contains("contradicted ends 1"));
    }

    /** A call-back that is repeated is no contradiction. */
    @Test
    public void oneThatRepeatsTheEndIsOnlyCounted() {
        log.attemptEnded(ended(AttemptOutcome.ERROR, EndEvidence.REPORTED));
        log.reportUnmatched("job-1", "w1", ReportedState.FAILED);
        assertEquals(1, lines().size());
    }

    @Test
    public void aFloodIsCountedAndNotWritten() {
        for (int i = 0; i < 1_000; i++) {
            log.attemptEnded(ended(AttemptOutcome.FULL, EndEvidence.answered(503)));
        }
        assertEquals(400, lines().size());
        log.logCounts();
        assertTrue(lines().get(400), lines().get(400).contains("full/answered=1000"));
        assertTrue(lines().get(400), lines().get(400).endsWith("lines left out 600"));
    }
}

package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.LoadReport;

/** Each job has one final answer in time, and no action follows it. */
class FinalAnswerTest extends PolicyFixture {

    @Test
    void jobUnansweredAtItsDeadlineFailsOnceAndIsNotRetried() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        String id = submit(policy, 0, "unsafe");
        policy.attemptFinished(20 * SECOND, id, 0, AttemptOutcome.TIMEOUT, false, LoadReport.NONE);
        policy.timerFired(21 * SECOND, "sweep");
        policy.jobAbandoned(21 * SECOND, id);
        assertEquals(1, actions.count("fail " + id));
        assertEquals(1, actions.count("send " + id));
        assertEquals(0, actions.count("reject " + id));
    }

    @Test
    void lateRepeatedAndUnknownEventsAreIgnored() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2");
        String id = submit(policy, 0, "safe");
        policy.attemptFinished(1, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        int recordedBefore = actions.recorded.size();
        policy.attemptFinished(2, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        policy.attemptFinished(2, "nobody", 3, AttemptOutcome.FULL, false, LoadReport.NONE);
        policy.attemptStarted(2, id, 0);
        policy.attemptProgressed(2, "nobody", -1, 0.5);
        policy.attemptStreaming(2, "nobody", 0);
        policy.jobAbandoned(2, id);
        policy.workerProbed(2, "nobody", true, IDLE_REPORT);
        policy.timerFired(2, "unknown");
        assertEquals(recordedBefore, actions.recorded.size());
    }

    @Test
    void streamingJobHasNoDeadline() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1");
        String id = submit(policy, 0, "stream");
        policy.attemptStreaming(SECOND, id, 0);
        policy.timerFired(30 * SECOND, "sweep");
        assertEquals(0, actions.count("fail") + actions.count("reject"));
    }
}

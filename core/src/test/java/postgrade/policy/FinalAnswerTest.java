package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.LoadReport;

/** Each job has one final answer in time, and nothing after it. */
class FinalAnswerTest extends PolicyFixture {

    @Test
    void jobUnansweredAtItsDeadlineFailsOnceAndIsNotRetried() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        String id = submit(d, 0, "unsafe");
        d.attemptFinished(20 * SECOND, id, 0, AttemptOutcome.TIMEOUT, false, LoadReport.NONE);
        d.timerFired(21 * SECOND, "sweep");
        d.jobAbandoned(21 * SECOND, id);
        assertEquals(1, actions.count("fail " + id));
        assertEquals(1, actions.count("send " + id));
        assertEquals(0, actions.count("refuse " + id));
    }

    @Test
    void lateRepeatedAndUnknownEventsAreIgnored() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2");
        String id = submit(d, 0, "safe");
        d.attemptFinished(1, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        int said = actions.recorded.size();
        d.attemptFinished(2, id, 0, AttemptOutcome.RESET, false, LoadReport.NONE);
        d.attemptFinished(2, "nobody", 3, AttemptOutcome.FULL, false, LoadReport.NONE);
        d.attemptStarted(2, id, 0);
        d.attemptProgressed(2, "nobody", -1, 0.5);
        d.attemptStreaming(2, "nobody", 0);
        d.jobAbandoned(2, id);
        d.workerProbed(2, "nobody", true, IDLE_REPORT);
        d.timerFired(2, "unheard of");
        assertEquals(said, actions.recorded.size());
    }

    @Test
    void streamingJobHasNoDeadline() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1");
        String id = submit(d, 0, "stream");
        d.attemptStreaming(SECOND, id, 0);
        d.timerFired(30 * SECOND, "sweep");
        assertEquals(0, actions.count("fail") + actions.count("refuse"));
    }
}

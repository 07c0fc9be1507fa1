package postgrade.quorum.follow;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.Test;
import postgrade.quorum.engine.FaultStatus;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.quorum.wire.proto.MomentMsg;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;

/** When a process pulls a view again, and which faults it reports meanwhile. */
public class FollowerTest {

    private static long millisBeforeAttempt(int attempt, int quickRetries) {
        long millis = 0;
        for (int failures = 1; failures < attempt; failures++) {
            millis += Follower.pauseMillis(250, failures, quickRetries);
        }
        return millis;
    }

    /** A voter that refuses a number of pulls and answers all later ones. */
    private static final class RecoveringVoter implements VoterChannel {
        private static final int EXPECTED_ANSWERS = 3;
        private final FaultStatus faultStatus;
        private int remainingRefusals;
        private int answers;
        String faultWhileRefusing;
        String faultAfterAnswers = "no answers";
        final CountDownLatch answered = new CountDownLatch(1);

        RecoveringVoter(FaultStatus faultStatus, int refusals) {
            this.faultStatus = faultStatus;
            this.remainingRefusals = refusals;
        }

        @Override
        public String voter() {
            return "v1";
        }

        /** Called on the follower thread, so earlier answers have been processed. */
        @Override
        public void pull(PullRequest request, long timeoutMillis, Consumer<PullReply> done) {
            if (remainingRefusals-- > 0) {
                done.accept(null);
                return;
            }
            if (answers == 0) {
                faultWhileRefusing = faultStatus.current();
            }
            if (++answers == EXPECTED_ANSWERS) {
                faultAfterAnswers = faultStatus.current();
                answered.countDown();
            }
            done.accept(
                    PullReply.newBuilder()
                            .setGroup("1-g")
                            .setMoment(MomentMsg.newBuilder())
                            .setLeader("v1")
                            .build());
        }

        @Override
        public void ask(AskRequest request, long timeoutMillis, Consumer<AskReply> done) {
            throw new AssertionError("no command is expected");
        }
    }

    /** A voter whose first answer cannot be processed, while later ones can. */
    private static final class InvalidFirstReplyVoter implements VoterChannel {
        private int answers;
        final CountDownLatch secondReplySent = new CountDownLatch(1);

        @Override
        public String voter() {
            return "v1";
        }

        @Override
        public void pull(PullRequest request, long timeoutMillis, Consumer<PullReply> done) {
            PullReply.Builder answer =
                    PullReply.newBuilder().setGroup("1-g").setMoment(MomentMsg.newBuilder());
            if (++answers == 1) {
                answer.setMore(true); // Without a last row the next page has no start.
            }
            done.accept(answer.build());
            if (answers == 2) {
                secondReplySent.countDown();
            }
        }

        @Override
        public void ask(AskRequest request, long timeoutMillis, Consumer<AskReply> done) {
            throw new AssertionError("no command is expected");
        }
    }

    /** Guards against a process that stops pulling after one answer that it cannot process. */
    @Test
    public void pullsContinueAfterAnUnreadableReply() throws Exception {
        FollowerThread thread = new FollowerThread("f");
        InvalidFirstReplyVoter voter = new InvalidFirstReplyVoter();
        try {
            follower(thread, voter, new FaultStatus("f")).start();
            assertTrue(voter.secondReplySent.await(20, TimeUnit.SECONDS));
        } finally {
            thread.close();
        }
    }

    private static Follower follower(
            FollowerThread thread, VoterChannel voter, FaultStatus faultStatus) {
        QuorumSettings settings =
                new QuorumSettings(
                        "f",
                        1,
                        List.of(new QuorumSettings.Voter("v1", "127.0.0.1", 1)),
                        Path.of("unused"),
                        2_000_000,
                        500,
                        10,
                        50,
                        800);
        return new Follower(
                settings,
                () -> System.nanoTime() / 1000,
                thread,
                List.of(voter),
                new CurrentEra(faultStatus),
                faultStatus,
                7);
    }

    @Test
    public void noViewFaultClearsOnceAViewIsConfirmed() throws Exception {
        FaultStatus faultStatus = new FaultStatus("f");
        FollowerThread thread = new FollowerThread("f");
        RecoveringVoter voter = new RecoveringVoter(faultStatus, 6);
        try {
            follower(thread, voter, faultStatus).start();
            assertTrue(voter.answered.await(20, TimeUnit.SECONDS));
        } finally {
            thread.close();
        }
        assertEquals(Follower.NO_VIEW_FAULT, voter.faultWhileRefusing);
        assertNull(voter.faultAfterAnswers, voter.faultAfterAnswers);
    }

    @Test
    public void withoutViewTriesThreeVotersTwiceBeforeBackingOff() {
        assertTrue("" + millisBeforeAttempt(7, 6), millisBeforeAttempt(7, 6) < 400);
        assertEquals("backoff starts at the pull interval", 250, Follower.pauseMillis(250, 7, 6));
        assertEquals(2000, Follower.pauseMillis(250, 10, 6));
        assertEquals("bounded", 2000, Follower.pauseMillis(250, 1000, 6));
    }

    @Test
    public void withViewBacksOffWithEachFailure() {
        assertEquals(250, Follower.pauseMillis(250, 1, 0));
        assertEquals(500, Follower.pauseMillis(250, 2, 0));
        assertEquals(2000, Follower.pauseMillis(250, 4, 0));
    }
}

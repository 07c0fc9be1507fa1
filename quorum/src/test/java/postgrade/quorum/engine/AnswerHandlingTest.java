package postgrade.quorum.engine;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.Test;
import postgrade.quorum.wire.proto.RaftMsg;

/** Which messages count for the current leadership, and that a caller gets exactly one answer. */
public class AnswerHandlingTest {

    private static final int APPEND_ENTRIES = 1;
    private static final int APPEND_SUCCESS = 2;
    private static final int APPEND_FAILURE = 3;
    private static final int VOTE_RESPONSE = 9;

    private static RaftMsg message(int kind, int term) {
        return RaftMsg.newBuilder().setKind(kind).setTerm(term).build();
    }

    @Test
    public void answerToEarlierLeadershipIsIgnored() {
        assertFalse(RaftGroup.isCurrent(message(APPEND_SUCCESS, 4), 5));
        assertFalse(RaftGroup.isCurrent(message(APPEND_FAILURE, 4), 5));
        assertTrue(RaftGroup.isCurrent(message(APPEND_SUCCESS, 5), 5));
        assertTrue("it reveals a later term", RaftGroup.isCurrent(message(APPEND_FAILURE, 6), 5));
        assertTrue(
                "its sender has to learn that it no longer leads",
                RaftGroup.isCurrent(message(APPEND_ENTRIES, 4), 5));
        assertTrue(RaftGroup.isCurrent(message(VOTE_RESPONSE, 4), 5));
    }

    @Test
    public void callerGetsExactlyOneAnswer() throws Exception {
        EngineThread thread = new EngineThread("a", 100);
        CompletableFuture<String> first = new CompletableFuture<>();
        thread.submit(() -> TimeLimitedAnswer.withTimeout(thread, 1, "nothing", first::complete));
        assertEquals("nothing", first.get(20, TimeUnit.SECONDS));
        List<String> received = new ArrayList<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        thread.submit(
                () -> {
                    Consumer<String> answer =
                            TimeLimitedAnswer.withTimeout(thread, 1, "nothing", received::add);
                    answer.accept("decided");
                    thread.scheduleMicros(() -> done.complete(null), 5_000);
                });
        done.get(20, TimeUnit.SECONDS);
        assertEquals("answered once", List.of("decided"), received);
        thread.close();
    }
}

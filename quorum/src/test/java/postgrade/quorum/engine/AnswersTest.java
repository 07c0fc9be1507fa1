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

/** Which answers count, and that one comes. */
public class AnswersTest {

    private static final int APPEND = 1;
    private static final int APPENDED = 2;
    private static final int NOT_APPENDED = 3;
    private static final int VOTED = 9;

    private static RaftMsg of(int kind, int term) {
        return RaftMsg.newBuilder().setKind(kind).setTerm(term).build();
    }

    @Test
    public void anAnswerToAnEarlierLeadershipDoesNotCount() {
        assertFalse(Group.counts(of(APPENDED, 4), 5));
        assertFalse(Group.counts(of(NOT_APPENDED, 4), 5));
        assertTrue(Group.counts(of(APPENDED, 5), 5));
        assertTrue("it tells us of a later leader", Group.counts(of(NOT_APPENDED, 6), 5));
        assertTrue("its sender has to hear that it leads no more", Group.counts(of(APPEND, 4), 5));
        assertTrue(Group.counts(of(VOTED, 4), 5));
    }

    @Test
    public void whoeverAsksIsToldThatNothingWasDecided() throws Exception {
        EngineThread thread = new EngineThread("a", 100);
        CompletableFuture<String> told = new CompletableFuture<>();
        thread.submit(() -> InTime.within(thread, 1, "nothing", told::complete));
        assertEquals("nothing", told.get(20, TimeUnit.SECONDS));
        List<String> all = new ArrayList<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        thread.submit(
                () -> {
                    Consumer<String> answer = InTime.within(thread, 1, "nothing", all::add);
                    answer.accept("decided");
                    thread.afterMicros(() -> done.complete(null), 5_000);
                });
        done.get(20, TimeUnit.SECONDS);
        assertEquals("told once", List.of("decided"), all);
        thread.close();
    }
}

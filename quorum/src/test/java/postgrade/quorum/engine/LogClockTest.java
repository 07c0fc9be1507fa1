package postgrade.quorum.engine;

import static org.junit.Assert.assertEquals;

import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.report.RaftTerm;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;
import postgrade.quorum.wire.Endpoint;
import postgrade.shared.Command;

/** The log's time with a test clock and an engine that answers when the test says so. */
public class LogClockTest {

    private static final long MAX_ADVANCE_MICROS = 500_000;
    private final Endpoint self = new Endpoint("a", "1");
    private final List<Command> proposed = new ArrayList<>();
    private CompletableFuture<Object> answer;
    private RaftEndpoint leader = self;
    private int term = 1;
    private long nowMicros = 1_000_000;
    private final LogClock clock = new LogClock("a", 1, () -> nowMicros, MAX_ADVANCE_MICROS, 0);

    private final RaftTerm raftTerm =
            new RaftTerm() {
                @Override
                public int getTerm() {
                    return term;
                }

                @Override
                public RaftEndpoint getLeaderEndpoint() {
                    return leader;
                }

                @Override
                public RaftEndpoint getVotedEndpoint() {
                    return null;
                }
            };

    private final RaftNode node =
            (RaftNode)
                    Proxy.newProxyInstance(
                            RaftNode.class.getClassLoader(),
                            new Class<?>[] {RaftNode.class},
                            (proxy, method, args) ->
                                    switch (method.getName()) {
                                        case "getTerm" -> raftTerm;
                                        case "getLocalEndpoint" -> self;
                                        case "replicate" -> {
                                            proposed.add((Command) args[0]);
                                            answer = new CompletableFuture<>();
                                            yield answer;
                                        }
                                        default -> throw new AssertionError(method);
                                    });

    private void tickAfter(long micros) {
        nowMicros += micros;
        clock.tick(node);
    }

    private long loggedMicros() {
        return proposed.stream().mapToLong(c -> c.args().integer("by")).sum();
    }

    /** The first entry of a leader does not advance the time: it commits earlier entries. */
    private void becomeLeader() {
        int proposalsBefore = proposed.size();
        tickAfter(0);
        assertEquals(proposalsBefore + 1, proposed.size());
        assertEquals(0, proposed.get(proposalsBefore).args().integer("by"));
        answer.complete(null);
    }

    @Test
    public void timeIsLoggedOnceAndOnlyWhileLeading() {
        becomeLeader();
        tickAfter(100_000);
        assertEquals(100_000, loggedMicros());
        tickAfter(50_000);
        assertEquals("the previous entry is still pending", 2, proposed.size());
        answer.complete(null);
        tickAfter(50_000);
        assertEquals(200_000, loggedMicros());
        answer.complete(null);
        leader = new Endpoint("b", "1");
        tickAfter(300_000);
        leader = self;
        term = 3;
        nowMicros += 300_000;
        becomeLeader();
        tickAfter(100_000);
        assertEquals("time under other leaders is not logged", 300_000, loggedMicros());
    }

    @Test
    public void advanceAfterSleepIsBounded() {
        becomeLeader();
        tickAfter(60_000_000);
        assertEquals(MAX_ADVANCE_MICROS, loggedMicros());
        answer.complete(null);
        tickAfter(100_000);
        assertEquals(
                "time beyond the maximum is not logged later",
                MAX_ADVANCE_MICROS + 100_000,
                loggedMicros());
    }

    @Test
    public void timeAdvancesInStepsWithoutLoss() {
        LogClock steppedClock = new LogClock("a", 1, () -> nowMicros, MAX_ADVANCE_MICROS, 200_000);
        for (int i = 0; i < 9; i++) {
            steppedClock.tick(node);
            answer.complete(null);
            nowMicros += 100_000;
        }
        assertEquals("the first entry, and one for every two ticks", 5, proposed.size());
        assertEquals(800_000, loggedMicros());
    }

    /** Guards against one lost answer of the engine that stops the log's time for good. */
    @Test
    public void lostEntryDoesNotStopTimeAndIsNotRepeated() {
        becomeLeader();
        tickAfter(100_000);
        CompletableFuture<Object> neverAnswered = answer;
        tickAfter(4 * MAX_ADVANCE_MICROS);
        assertEquals(100_000, loggedMicros());
        tickAfter(1);
        assertEquals(
                "it may be committed, and the next advance is bounded", 600_000, loggedMicros());
        neverAnswered.complete(null);
        tickAfter(100_000);
        assertEquals("a late answer is ignored", 600_000, loggedMicros());
        answer.complete(null);
        tickAfter(100_000);
        assertEquals(800_000, loggedMicros());
    }

    @Test
    public void indeterminateEntryIsNotRepeated() {
        becomeLeader();
        tickAfter(100_000);
        answer.completeExceptionally(new CannotReplicateException(self));
        tickAfter(100_000);
        assertEquals(
                "never entered the log, so 100 ms are followed by 200 ms", 300_000, loggedMicros());
        answer.completeExceptionally(new IndeterminateStateException(self));
        tickAfter(100_000);
        assertEquals(300_000, loggedMicros());
        clock.reset();
        nowMicros += 100_000;
        becomeLeader();
        tickAfter(100_000);
        assertEquals("measured from the new leadership", 400_000, loggedMicros());
    }
}

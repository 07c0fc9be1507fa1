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

/** The log's time by a clock of ours and an engine that answers when it is told. */
public class LogClockTest {

    private static final long MOST = 500_000;
    private final Endpoint self = new Endpoint("a", "1");
    private final List<Command> asked = new ArrayList<>();
    private CompletableFuture<Object> answer;
    private RaftEndpoint leader = self;
    private int term = 1;
    private long now = 1_000_000;
    private final LogClock clock = new LogClock("a", 1, () -> now, MOST, 0);

    private final RaftTerm terms =
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
                                        case "getTerm" -> terms;
                                        case "getLocalEndpoint" -> self;
                                        case "replicate" -> {
                                            asked.add((Command) args[0]);
                                            answer = new CompletableFuture<>();
                                            yield answer;
                                        }
                                        default -> throw new AssertionError(method);
                                    });

    private void tickAfter(long micros) {
        now += micros;
        clock.tick(node);
    }

    private long told() {
        return asked.stream().mapToLong(c -> c.args().integer("by")).sum();
    }

    /** A leader's first entry tells no time: it commits what was before. */
    private void leadsAnew() {
        int before = asked.size();
        tickAfter(0);
        assertEquals(before + 1, asked.size());
        assertEquals(0, asked.get(before).args().integer("by"));
        answer.complete(null);
    }

    @Test
    public void eachMomentIsToldOnceAndOnlyWhileLeading() {
        leadsAnew();
        tickAfter(100_000);
        assertEquals(100_000, told());
        tickAfter(50_000);
        assertEquals("the first is not decided yet", 2, asked.size());
        answer.complete(null);
        tickAfter(50_000);
        assertEquals(200_000, told());
        answer.complete(null);
        leader = new Endpoint("b", "1");
        tickAfter(300_000);
        leader = self;
        term = 3;
        now += 300_000;
        leadsAnew();
        tickAfter(100_000);
        assertEquals("what others led is not told", 300_000, told());
    }

    @Test
    public void aLeaderThatSleptTellsOnlySoMuch() {
        leadsAnew();
        tickAfter(60_000_000);
        assertEquals(MOST, told());
        answer.complete(null);
        tickAfter(100_000);
        assertEquals("what was not told is lost", MOST + 100_000, told());
    }

    @Test
    public void timeIsToldInStepsAndNoneIsLostByThat() {
        LogClock steps = new LogClock("a", 1, () -> now, MOST, 200_000);
        for (int i = 0; i < 9; i++) {
            steps.tick(node);
            answer.complete(null);
            now += 100_000;
        }
        assertEquals("the first entry, and one for each two ticks", 5, asked.size());
        assertEquals(800_000, told());
    }

    /** Guards against one lost answer of the engine's that stops the log's time for good. */
    @Test
    public void anEntryThatIsNeverAnsweredStopsNoTimeAndIsNotToldAgain() {
        leadsAnew();
        tickAfter(100_000);
        CompletableFuture<Object> neverAnswered = answer;
        tickAfter(4 * MOST);
        assertEquals(100_000, told());
        tickAfter(1);
        assertEquals("it may be committed, and what came behind it is bounded", 600_000, told());
        neverAnswered.complete(null);
        tickAfter(100_000);
        assertEquals("a late answer counts for nothing", 600_000, told());
        answer.complete(null);
        tickAfter(100_000);
        assertEquals(800_000, told());
    }

    @Test
    public void whatMayBeCommittedYetIsNotToldAgain() {
        leadsAnew();
        tickAfter(100_000);
        answer.completeExceptionally(new CannotReplicateException(self));
        tickAfter(100_000);
        assertEquals("never came into the log: 100 and then 200 ms", 300_000, told());
        answer.completeExceptionally(new IndeterminateStateException(self));
        tickAfter(100_000);
        assertEquals(300_000, told());
        clock.reset();
        now += 100_000;
        leadsAnew();
        tickAfter(100_000);
        assertEquals("from where it leads anew", 400_000, told());
    }
}

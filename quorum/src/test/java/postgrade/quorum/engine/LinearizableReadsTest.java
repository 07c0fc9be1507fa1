package postgrade.quorum.engine;

import static org.junit.Assert.assertEquals;

import io.microraft.Ordered;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftTerm;
import java.lang.reflect.Proxy;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.After;
import org.junit.Test;
import postgrade.quorum.wire.Endpoint;

/** Rounds of reads at a leader whose engine answers as the test scripts it, or never. */
public class LinearizableReadsTest {

    private static final int HEARTBEAT_INTERVAL_MILLIS = 10;
    private static final long SHORT_TIMEOUT_MILLIS = 20;
    private static final long LONG_TIMEOUT_MILLIS = 60_000;

    private final Endpoint self = new Endpoint("a", "1");
    private final EngineThread thread = new EngineThread("a", HEARTBEAT_INTERVAL_MILLIS);
    private LinearizableReads reads = newReads(LONG_TIMEOUT_MILLIS);
    private final BlockingQueue<CompletableFuture<Object>> quorumQueries =
            new LinkedBlockingQueue<>();
    private volatile RuntimeException engineFailure;

    private final RaftTerm term =
            new RaftTerm() {
                @Override
                public int getTerm() {
                    return 1;
                }

                @Override
                public RaftEndpoint getLeaderEndpoint() {
                    return self;
                }

                @Override
                public RaftEndpoint getVotedEndpoint() {
                    return null;
                }
            };

    private final RaftNode node = proxy(RaftNode.class, this::callEngine);

    private Object callEngine(String method) {
        return switch (method) {
            case "getTerm" -> term;
            case "getLocalEndpoint" -> self;
            case "query" -> query();
            default -> throw new UnsupportedOperationException(method);
        };
    }

    private Object query() {
        if (engineFailure != null) {
            throw engineFailure;
        }
        CompletableFuture<Object> answer = new CompletableFuture<>();
        quorumQueries.add(answer);
        return answer;
    }

    private interface MethodHandler {
        Object call(String method);
    }

    private static <T> T proxy(Class<T> type, MethodHandler handler) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, args) -> handler.call(method.getName())));
    }

    private LinearizableReads newReads(long requestTimeoutMillis) {
        return new LinearizableReads(thread, null, "1-test", requestTimeoutMillis);
    }

    private static Ordered<?> ordered(long index) {
        return proxy(Ordered.class, method -> index);
    }

    private CompletableFuture<Long> confirm() {
        CompletableFuture<Long> index = new CompletableFuture<>();
        confirm(index::complete);
        return index;
    }

    private void confirm(LongConsumer reader) {
        thread.submit(() -> reads.confirm(node, reader));
    }

    private CompletableFuture<Object> nextQuery() throws InterruptedException {
        CompletableFuture<Object> query = quorumQueries.poll(20, TimeUnit.SECONDS);
        if (query == null) {
            throw new AssertionError("the quorum was not queried");
        }
        return query;
    }

    private static long await(CompletableFuture<Long> index) throws Exception {
        return index.get(20, TimeUnit.SECONDS);
    }

    @After
    public void close() {
        thread.close();
    }

    /**
     * Guards against one lost answer that blocks all later reads at the leader, and with them all
     * views.
     */
    @Test
    public void unansweredRoundDoesNotBlockLaterReaders() throws Exception {
        reads = newReads(SHORT_TIMEOUT_MILLIS);
        CompletableFuture<Long> lost = confirm();
        CompletableFuture<Object> neverAnswered = nextQuery();
        assertEquals(LinearizableReads.REFUSED, await(lost));
        long index = LinearizableReads.REFUSED;
        // A stalled machine may miss the short timeout.
        while (index == LinearizableReads.REFUSED) {
            CompletableFuture<Long> next = confirm();
            CompletableFuture<Object> query = nextQuery();
            neverAnswered.complete(ordered(7));
            query.complete(ordered(8));
            index = await(next);
        }
        assertEquals("not an answer given before the query", 8, index);
    }

    /** Guards against a reader whose exception blocks all later reads. */
    @Test
    public void throwingReaderDoesNotBlockOthers() throws Exception {
        confirm();
        CompletableFuture<Object> first = nextQuery();
        confirm(
                index -> {
                    throw new IllegalStateException("its connection has ended");
                });
        CompletableFuture<Long> behind = confirm();
        first.complete(ordered(1));
        nextQuery().complete(ordered(2));
        assertEquals(2, await(behind));
        CompletableFuture<Long> later = confirm();
        nextQuery().complete(ordered(3));
        assertEquals(3, await(later));
    }

    /** Guards against an exception of the engine that blocks all later reads. */
    @Test
    public void throwingEngineFailsOnlyItsRound() throws Exception {
        engineFailure = new IllegalStateException("a fault of the engine");
        assertEquals(LinearizableReads.REFUSED, await(confirm()));
        engineFailure = null;
        CompletableFuture<Long> later = confirm();
        nextQuery().complete(ordered(4));
        assertEquals(4, await(later));
    }
}

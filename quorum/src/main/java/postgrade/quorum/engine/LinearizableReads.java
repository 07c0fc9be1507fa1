package postgrade.quorum.engine;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;
import postgrade.quorum.wire.Methods;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.ReadReply;
import postgrade.quorum.wire.proto.ReadRequest;

/**
 * Confirms through the quorum the index up to which a reader must have read. All waiting readers
 * share one round. A round starts only after the previous one has ended, so that no answer serves a
 * reader that asked after the answer was given. A round without an answer ends by a timeout, so
 * that a lost answer does not block later readers.
 */
final class LinearizableReads {

    private static final Logger LOG = LoggerFactory.getLogger(LinearizableReads.class);

    /** Minimum interval between rounds, however many readers ask. */
    private static final long MIN_ROUND_INTERVAL_MICROS = 50_000;

    private static final int MAX_WAITING_READERS = 512;

    /**
     * A follower's round waits for the leader's answer and then for its own log to reach that
     * index.
     */
    private static final int REQUEST_TIMEOUTS_PER_ROUND = 2;

    static final long REFUSED = -1;

    private final EngineThread thread;
    private final VoterConnections connections;
    private final String group;
    private final long requestTimeoutMillis;
    private List<LongConsumer> waiting = new ArrayList<>();
    private boolean roundInProgress;

    LinearizableReads(
            EngineThread thread,
            VoterConnections connections,
            String group,
            long requestTimeoutMillis) {
        this.thread = thread;
        this.connections = connections;
        this.group = group;
        this.requestTimeoutMillis = requestTimeoutMillis;
    }

    /**
     * Passes {@code done} the confirmed index once this replica has applied it, or {@link
     * #REFUSED}.
     */
    void confirm(RaftNode node, LongConsumer done) {
        if (waiting.size() >= MAX_WAITING_READERS) {
            done.accept(REFUSED);
            return;
        }
        waiting.add(done);
        if (!roundInProgress) {
            startRound(node);
        }
    }

    private void startRound(RaftNode node) {
        roundInProgress = true;
        Round round = new Round(node, waiting);
        waiting = new ArrayList<>();
        round.start();
    }

    private void scheduleNextRound(RaftNode node) {
        thread.scheduleMicros(
                () -> {
                    roundInProgress = false;
                    if (!waiting.isEmpty()) {
                        startRound(node);
                    }
                },
                MIN_ROUND_INTERVAL_MICROS);
    }

    /** Refuses all waiting readers. */
    void close() {
        List<LongConsumer> remaining = waiting;
        waiting = new ArrayList<>();
        notifyReaders(remaining, REFUSED);
    }

    /** Notifies all readers; one that throws does not keep the others from the answer. */
    private static void notifyReaders(List<LongConsumer> readers, long index) {
        for (LongConsumer reader : readers) {
            try {
                reader.accept(index);
            } catch (RuntimeException e) {
                Events.warn(LOG, "sharing.reader-failed")
                        .setCause(e)
                        .log("a reader failed when it was notified of the confirmed index");
            }
        }
    }

    /**
     * One query to the quorum for all readers that were waiting when it started. Ends exactly once.
     */
    private final class Round {
        private final RaftNode node;
        private final List<LongConsumer> readers;
        private final long startedNanos = System.nanoTime();
        private Future<?> timeout;
        private boolean ended;

        Round(RaftNode node, List<LongConsumer> readers) {
            this.node = node;
            this.readers = readers;
        }

        void start() {
            long timeoutMicros = REQUEST_TIMEOUTS_PER_ROUND * requestTimeoutMillis * 1000;
            timeout = thread.scheduleMicros(this::timeOut, timeoutMicros);
            KnownLeader leader = new KnownLeader(node);
            try {
                if (leader.isSelf()) {
                    askQuorum();
                } else if (leader.name() != null) {
                    askLeader(leader.name());
                } else {
                    end(REFUSED);
                }
            } catch (RuntimeException e) {
                Events.warn(LOG, "sharing.read-failed")
                        .setCause(e)
                        .log("the quorum could not be queried");
                end(REFUSED);
            }
        }

        private void askQuorum() {
            CompletableFuture<Ordered<Object>> answer =
                    node.query(
                            Replica.READ,
                            QueryPolicy.LINEARIZABLE,
                            Optional.empty(),
                            Optional.empty());
            answer.whenComplete(
                    (read, failure) ->
                            thread.execute(
                                    () -> end(failure == null ? read.getCommitIndex() : REFUSED)));
        }

        private void askLeader(String leader) {
            connections.call(
                    leader,
                    Methods.READ,
                    ReadRequest.newBuilder().setGroup(group).build(),
                    requestTimeoutMillis,
                    (reply, status) -> thread.execute(() -> onLeaderReply(reply)));
        }

        private void onLeaderReply(ReadReply reply) {
            if (reply == null || !reply.getConfirmed()) {
                end(REFUSED);
                return;
            }
            long index = reply.getIndex();
            node.waitFor(index, thread.toEngineTime(requestTimeoutMillis))
                    .whenComplete(
                            (applied, failure) ->
                                    thread.execute(() -> end(failure == null ? index : REFUSED)));
        }

        /** Ends the round if neither the quorum nor the leader has answered in time. */
        private void timeOut() {
            if (!ended) {
                Events.warn(LOG, "sharing.read-lost")
                        .addKeyValue("group", group)
                        .addKeyValue("leads", new KnownLeader(node).isSelf())
                        .addKeyValue("readers", readers.size())
                        .addKeyValue("waited_ms", (System.nanoTime() - startedNanos) / 1_000_000)
                        .log("a round of reads got no answer in time and was refused");
                end(REFUSED);
            }
        }

        private void end(long index) {
            if (ended) {
                return; // A late answer: the readers already have theirs.
            }
            ended = true;
            timeout.cancel(false);
            scheduleNextRound(node);
            notifyReaders(readers, index);
        }
    }

    /** The leader that this replica knows. */
    record KnownLeader(RaftNode node) {
        boolean isSelf() {
            return node.getLocalEndpoint().equals(node.getTerm().getLeaderEndpoint());
        }

        String name() {
            return node.getTerm().getLeaderEndpoint() instanceof postgrade.quorum.wire.Endpoint e
                    ? e.name()
                    : null;
        }
    }
}

package postgrade.quorum.engine;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import postgrade.quorum.wire.Links;
import postgrade.quorum.wire.Methods;
import postgrade.quorum.wire.proto.ReadRequest;

/**
 * Confirms by the quorum up to where a reader must have read. All readers that wait share one
 * round; a round begins only after the one before has ended, so that no answer counts for a
 * question put after it was given.
 */
final class Reads {

    /** Rounds are at least so far apart, whatever is asked. */
    private static final long PACE_MICROS = 50_000;

    private static final int MOST_WAITING = 512;
    static final long REFUSED = -1;

    private final EngineThread thread;
    private final Links links;
    private final String group;
    private final long requestMillis;
    private List<LongConsumer> waiting = new ArrayList<>();
    private boolean running;

    Reads(EngineThread thread, Links links, String group, long requestMillis) {
        this.thread = thread;
        this.links = links;
        this.group = group;
        this.requestMillis = requestMillis;
    }

    /** {@code done} gets the index once this replica has applied it, or {@link #REFUSED}. */
    void confirm(RaftNode node, LongConsumer done) {
        if (waiting.size() >= MOST_WAITING) {
            done.accept(REFUSED);
            return;
        }
        waiting.add(done);
        if (!running) {
            running = true;
            round(node);
        }
    }

    private void round(RaftNode node) {
        List<LongConsumer> batch = waiting;
        waiting = new ArrayList<>();
        Endpoints leader = new Endpoints(node);
        if (leader.self()) {
            node.query(Replica.READ, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                    .whenComplete(
                            (o, e) ->
                                    thread.execute(
                                            () ->
                                                    ended(
                                                            node,
                                                            batch,
                                                            e == null ? index(o) : REFUSED)));
        } else if (leader.name() != null) {
            links.call(
                    leader.name(),
                    Methods.READ,
                    ReadRequest.newBuilder().setGroup(group).build(),
                    requestMillis,
                    (reply, status) ->
                            thread.execute(
                                    () -> {
                                        if (reply == null || !reply.getConfirmed()) {
                                            ended(node, batch, REFUSED);
                                            return;
                                        }
                                        node.waitFor(
                                                        reply.getIndex(),
                                                        thread.engineTime(requestMillis))
                                                .whenComplete(
                                                        (o, e) ->
                                                                thread.execute(
                                                                        () ->
                                                                                ended(
                                                                                        node,
                                                                                        batch,
                                                                                        e == null
                                                                                                ? reply
                                                                                                        .getIndex()
                                                                                                : REFUSED)));
                                    }));
        } else {
            ended(node, batch, REFUSED);
        }
    }

    private static long index(Ordered<?> o) {
        return o.getCommitIndex();
    }

    private void ended(RaftNode node, List<LongConsumer> batch, long index) {
        batch.forEach(done -> done.accept(index));
        thread.afterMicros(
                () -> {
                    running = !waiting.isEmpty();
                    if (running) {
                        round(node);
                    }
                },
                PACE_MICROS);
    }

    /** Gives up whoever waits. */
    void close() {
        List<LongConsumer> left = waiting;
        waiting = new ArrayList<>();
        left.forEach(done -> done.accept(REFUSED));
    }

    /** Who leads, as this replica knows it. */
    record Endpoints(RaftNode node) {
        boolean self() {
            return node.getLocalEndpoint().equals(node.getTerm().getLeaderEndpoint());
        }

        String name() {
            return node.getTerm().getLeaderEndpoint() instanceof postgrade.quorum.wire.Endpoint e
                    ? e.name()
                    : null;
        }
    }
}

package postgrade.quorum.wire;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.quorum.wire.proto.None;
import postgrade.quorum.wire.proto.RaftMsg;

/**
 * Connections to the voters, one each, opened when first needed. Any thread may use it; nothing
 * here waits, and answers come on the transport's thread.
 */
public final class Links {

    /** Pauses between tries to connect are ours, not the library's, which grow to minutes. */
    private static final long RECONNECT_MICROS = 100_000;

    private static final int MOST_UNANSWERED = 3;

    /** What a stream holds that is not open yet, or has not drained. */
    private static final int MOST_HELD = 64;

    private final QuorumSettings settings;
    private final EventLoopGroup events;
    private final Map<String, Link> links = new HashMap<>();
    private boolean closed;

    /** How long a connection says nothing before it is given up. */
    long silentNanos = 1_000_000_000L;

    private static final class Link {
        ManagedChannel channel;
        ClientCall<RaftMsg, None> stream;
        int held;
        long triedNanos;
        int unanswered;
        long heardNanos = System.nanoTime();
    }

    public Links(QuorumSettings settings, EventLoopGroup events) {
        this.settings = settings;
        this.events = events;
    }

    /**
     * Sends a consensus message, or drops it where the way is not free: the engine sends again what
     * it must.
     */
    public synchronized void send(Endpoint to, RaftMsg message) {
        Voter voter = settings.voter(to.name());
        if (closed || voter == null) {
            return;
        }
        Link link = link(voter);
        if (link.stream == null) {
            open(link);
        }
        if (link.stream == null) {
            return; // It failed at once.
        }
        // A new stream is not ready at first, though its connection may be: what it drops then is
        // what it was opened for,
        // such as a vote's question, which the engine asks again only a round later. One that does
        // not drain must not grow.
        link.held = link.stream.isReady() ? 0 : link.held + 1;
        if (link.held <= MOST_HELD) {
            link.stream.sendMessage(message);
        }
    }

    private void open(Link link) {
        ClientCall<RaftMsg, None> call = link.channel.newCall(Methods.RAFT, CallOptions.DEFAULT);
        link.held = 0;
        link.stream = call; // Before it starts: it may end within its start.
        call.start(
                new ClientCall.Listener<None>() {
                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        synchronized (Links.this) {
                            if (link.stream == call) {
                                link.stream = null;
                            }
                        }
                    }
                },
                new Metadata());
        call.request(1);
    }

    /**
     * Calls a voter. {@code done} gets the answer, or null and why none came; always exactly once.
     */
    public <A, B> void call(
            String voter,
            MethodDescriptor<A, B> method,
            A request,
            long withinMillis,
            BiConsumer<B, Status> done) {
        ManagedChannel channel;
        synchronized (this) {
            Voter v = settings.voter(voter);
            channel = closed || v == null ? null : link(v).channel;
        }
        if (channel == null) {
            done.accept(null, Status.UNAVAILABLE);
            return;
        }
        ClientCall<A, B> call =
                channel.newCall(
                        method,
                        CallOptions.DEFAULT.withDeadlineAfter(
                                Math.max(1, withinMillis), TimeUnit.MILLISECONDS));
        call.start(
                new ClientCall.Listener<B>() {
                    private B answer;

                    @Override
                    public void onMessage(B message) {
                        answer = message;
                        answered(voter, channel);
                    }

                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        if (status.getCode() == Status.Code.DEADLINE_EXCEEDED) {
                            unanswered(voter, channel);
                        }
                        done.accept(status.isOk() ? answer : null, status);
                    }
                },
                new Metadata());
        call.sendMessage(request);
        call.halfClose();
        call.request(2);
    }

    private synchronized void answered(String voter, ManagedChannel channel) {
        Link link = links.get(voter);
        if (link != null && link.channel == channel) {
            link.unanswered = 0;
            link.heardNanos = System.nanoTime();
        }
    }

    /**
     * A connection on which no answer came again and again, for a second at least, is given up: it
     * may lie behind a cut that nobody tells. Not sooner: a busy machine answers late, and a new
     * connection would make it busier.
     */
    private synchronized void unanswered(String voter, ManagedChannel channel) {
        Link link = links.get(voter);
        if (link != null
                && link.channel == channel
                && ++link.unanswered >= MOST_UNANSWERED
                && System.nanoTime() - link.heardNanos > silentNanos) {
            links.remove(voter);
            channel.shutdownNow();
        }
    }

    private Link link(Voter v) {
        Link link =
                links.computeIfAbsent(
                        v.name(),
                        n -> {
                            Link fresh = new Link();
                            fresh.channel =
                                    NettyChannelBuilder.forAddress(
                                                    new InetSocketAddress(v.host(), v.port()))
                                            .usePlaintext()
                                            .eventLoopGroup(events)
                                            .channelType(NioSocketChannel.class)
                                            .directExecutor()
                                            .maxInboundMessageSize(Methods.MOST_BYTES)
                                            .disableRetry()
                                            .build();
                            return fresh;
                        });
        long now = System.nanoTime();
        if (now - link.triedNanos > RECONNECT_MICROS * 1000
                && link.channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
            link.triedNanos = now;
            link.channel.resetConnectBackoff();
        }
        return link;
    }

    public synchronized void close() {
        closed = true;
        links.values().forEach(l -> l.channel.shutdownNow());
        links.clear();
    }
}

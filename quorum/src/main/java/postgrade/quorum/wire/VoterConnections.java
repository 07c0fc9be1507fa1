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
public final class VoterConnections {

    /** Pauses between tries to connect are ours, not the library's, which grow to minutes. */
    private static final long RECONNECT_INTERVAL_MICROS = 100_000;

    private static final int MAX_UNANSWERED_CALLS = 3;

    /** What a stream holds that is not open yet, or has not drained. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    private final QuorumSettings settings;
    private final EventLoopGroup eventLoops;
    private final Map<String, Connection> connections = new HashMap<>();
    private boolean closed;

    /** How long a connection says nothing before it is given up. */
    long minSilenceNanos = 1_000_000_000L;

    private static final class Connection {
        ManagedChannel channel;
        ClientCall<RaftMsg, None> stream;
        int queuedMessages;
        long lastReconnectNanos;
        int unansweredCalls;
        long lastAnswerNanos = System.nanoTime();
    }

    public VoterConnections(QuorumSettings settings, EventLoopGroup eventLoops) {
        this.settings = settings;
        this.eventLoops = eventLoops;
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
        Connection connection = connection(voter);
        if (connection.stream == null) {
            openStream(connection);
        }
        if (connection.stream == null) {
            return; // It failed at once.
        }
        // A new stream is not ready at first, though its connection may be: what it drops then is
        // what it was opened for,
        // such as a vote's question, which the engine asks again only a round later. One that does
        // not drain must not grow.
        connection.queuedMessages = connection.stream.isReady() ? 0 : connection.queuedMessages + 1;
        if (connection.queuedMessages <= MAX_QUEUED_MESSAGES) {
            connection.stream.sendMessage(message);
        }
    }

    private void openStream(Connection connection) {
        ClientCall<RaftMsg, None> call =
                connection.channel.newCall(Methods.RAFT, CallOptions.DEFAULT);
        connection.queuedMessages = 0;
        connection.stream = call; // Before it starts: it may end within its start.
        call.start(
                new ClientCall.Listener<None>() {
                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        synchronized (VoterConnections.this) {
                            if (connection.stream == call) {
                                connection.stream = null;
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
            long timeoutMillis,
            BiConsumer<B, Status> done) {
        ManagedChannel channel;
        synchronized (this) {
            Voter address = settings.voter(voter);
            channel = closed || address == null ? null : connection(address).channel;
        }
        if (channel == null) {
            done.accept(null, Status.UNAVAILABLE);
            return;
        }
        ClientCall<A, B> call =
                channel.newCall(
                        method,
                        CallOptions.DEFAULT.withDeadlineAfter(
                                Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS));
        call.start(
                new ClientCall.Listener<B>() {
                    private B answer;

                    @Override
                    public void onMessage(B message) {
                        answer = message;
                        onAnswer(voter, channel);
                    }

                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        if (status.getCode() == Status.Code.DEADLINE_EXCEEDED) {
                            onDeadlineExceeded(voter, channel);
                        }
                        done.accept(status.isOk() ? answer : null, status);
                    }
                },
                new Metadata());
        call.sendMessage(request);
        call.halfClose();
        call.request(2);
    }

    private synchronized void onAnswer(String voter, ManagedChannel channel) {
        Connection connection = connections.get(voter);
        if (connection != null && connection.channel == channel) {
            connection.unansweredCalls = 0;
            connection.lastAnswerNanos = System.nanoTime();
        }
    }

    /**
     * A connection on which no answer came again and again, for a second at least, is given up: it
     * may lie behind a cut that nobody tells. Not sooner: a busy machine answers late, and a new
     * connection would make it busier.
     */
    private synchronized void onDeadlineExceeded(String voter, ManagedChannel channel) {
        Connection connection = connections.get(voter);
        if (connection != null
                && connection.channel == channel
                && ++connection.unansweredCalls >= MAX_UNANSWERED_CALLS
                && System.nanoTime() - connection.lastAnswerNanos > minSilenceNanos) {
            connections.remove(voter);
            channel.shutdownNow();
        }
    }

    private Connection connection(Voter voter) {
        Connection connection =
                connections.computeIfAbsent(
                        voter.name(),
                        n -> {
                            Connection created = new Connection();
                            created.channel =
                                    NettyChannelBuilder.forAddress(
                                                    new InetSocketAddress(
                                                            voter.host(), voter.port()))
                                            .usePlaintext()
                                            .eventLoopGroup(eventLoops)
                                            .channelType(NioSocketChannel.class)
                                            .directExecutor()
                                            .maxInboundMessageSize(Methods.MAX_MESSAGE_BYTES)
                                            .disableRetry()
                                            .build();
                            return created;
                        });
        long now = System.nanoTime();
        if (now - connection.lastReconnectNanos > RECONNECT_INTERVAL_MICROS * 1000
                && connection.channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
            connection.lastReconnectNanos = now;
            connection.channel.resetConnectBackoff();
        }
        return connection;
    }

    public synchronized void close() {
        closed = true;
        connections.values().forEach(l -> l.channel.shutdownNow());
        connections.clear();
    }
}

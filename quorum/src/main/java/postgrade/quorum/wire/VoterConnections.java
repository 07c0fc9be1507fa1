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
 * One connection per voter, opened when first needed. Thread-safe and non-blocking; answers arrive
 * on the transport's thread.
 */
public final class VoterConnections {

    /**
     * Minimum interval between reconnects. Replaces the backoff of the library, which grows to
     * minutes.
     */
    private static final long RECONNECT_INTERVAL_MICROS = 100_000;

    private static final int MAX_UNANSWERED_CALLS = 3;

    /** Maximum number of messages queued on a stream that is not open yet or does not drain. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    private final QuorumSettings settings;
    private final EventLoopGroup eventLoops;
    private final Map<String, Connection> connections = new HashMap<>();
    private boolean closed;

    /** Minimum time without an answer before a connection is closed. */
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
     * Sends a consensus message, or drops it if the stream does not drain; the engine resends what
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
            return; // The stream failed at once.
        }
        // A new stream is not ready at first, even on an open connection. Dropping messages then
        // would lose the message it was opened for, such as a vote request, which the engine
        // repeats only a round later. The queue of a stream that does not drain must stay
        // bounded.
        connection.queuedMessages = connection.stream.isReady() ? 0 : connection.queuedMessages + 1;
        if (connection.queuedMessages <= MAX_QUEUED_MESSAGES) {
            connection.stream.sendMessage(message);
        }
    }

    private void openStream(Connection connection) {
        ClientCall<RaftMsg, None> call =
                connection.channel.newCall(Methods.RAFT, CallOptions.DEFAULT);
        connection.queuedMessages = 0;
        connection.stream = call; // Set before the start, as the call may end within it.
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
     * Calls a voter. Calls {@code done} exactly once, with the answer, or with null and the status
     * that says why there is none.
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
     * Closes a connection on which several calls in a row got no answer for at least a second: it
     * may be behind a network partition that no reset reveals. Not sooner, since a busy machine
     * answers late and a new connection would add to its load.
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
                        name -> {
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
        connections.values().forEach(connection -> connection.channel.shutdownNow());
        connections.clear();
    }
}

package postgrade.quorum.wire;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;

import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.After;
import org.junit.Test;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.quorum.wire.proto.RaftMsg;
import postgrade.quorum.wire.proto.ReadReply;
import postgrade.quorum.wire.proto.ReadRequest;

/** Connections to a voter that records consensus messages and answers only hello requests. */
public class VoterConnectionsTest {

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final BlockingQueue<RaftMsg> received = new LinkedBlockingQueue<>();
    private Server server;
    private VoterConnections connections;

    private final class HelloOnlyHandler implements Server.RequestHandler {
        @Override
        public void raft(RaftMsg message) {
            received.add(message);
        }

        @Override
        public void pull(PullRequest request, Consumer<PullReply> answer) {}

        @Override
        public void read(ReadRequest request, Consumer<ReadReply> answer) {}

        @Override
        public void ask(AskRequest request, Consumer<AskReply> answer) {}

        @Override
        public void hello(HelloRequest request, Consumer<HelloReply> answer) {
            answer.accept(HelloReply.newBuilder().setName("b").build());
        }
    }

    private void open() {
        while (server == null) {
            int port = ThreadLocalRandom.current().nextInt(18_000, 32_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                s.close();
                Voter b = new Voter("b", "127.0.0.1", port);
                server = new Server(b, eventLoops, new HelloOnlyHandler());
                connections =
                        new VoterConnections(
                                QuorumSettings.withDefaults("x", List.of(b), null), eventLoops);
            } catch (IOException e) {
                // The port is taken: try another.
            }
        }
    }

    private <A, B> B call(io.grpc.MethodDescriptor<A, B> method, A request, long timeoutMillis)
            throws Exception {
        CompletableFuture<B> answer = new CompletableFuture<>();
        connections.call(
                "b", method, request, timeoutMillis, (reply, status) -> answer.complete(reply));
        return answer.get(20, TimeUnit.SECONDS);
    }

    @After
    public void close() {
        connections.close();
        server.close();
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    public void firstMessageOfAStreamArrivesOnAnOpenConnection() throws Exception {
        open();
        assertNotNull(call(Methods.HELLO, HelloRequest.getDefaultInstance(), 20_000));
        connections.send(new Endpoint("b", "1"), RaftMsg.newBuilder().setTerm(1).build());
        // Sent after the message, so that a lost message shows without waiting for it.
        assertNotNull(call(Methods.HELLO, HelloRequest.getDefaultInstance(), 20_000));
        connections.send(new Endpoint("b", "1"), RaftMsg.newBuilder().setTerm(2).build());
        assertEquals(1, received.poll(20, TimeUnit.SECONDS).getTerm());
        assertEquals(2, received.poll(20, TimeUnit.SECONDS).getTerm());
    }

    @Test
    public void callTimeoutsDoNotCloseTheConnection() throws Exception {
        open();
        connections.minSilenceNanos = Long.MAX_VALUE;
        CompletableFuture<PullReply> waits = new CompletableFuture<>();
        connections.call(
                "b",
                Methods.PULL,
                PullRequest.getDefaultInstance(),
                60_000,
                (r, status) -> waits.complete(r));
        for (int i = 0; i < 4; i++) {
            assertNull(call(Methods.ASK, AskRequest.getDefaultInstance(), 5));
        }
        assertNotNull(call(Methods.HELLO, HelloRequest.getDefaultInstance(), 20_000));
        assertFalse("its connection was closed", waits.isDone());
    }
}

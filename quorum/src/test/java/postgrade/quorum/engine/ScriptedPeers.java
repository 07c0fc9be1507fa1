package postgrade.quorum.engine;

import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.Server;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.quorum.wire.proto.RaftMsg;
import postgrade.quorum.wire.proto.ReadReply;
import postgrade.quorum.wire.proto.ReadRequest;

/**
 * Peers that consist of a server only: they record the consensus messages that they receive and
 * answer hello requests as scripted.
 */
final class ScriptedPeers implements AutoCloseable {

    private static final int MAX_PORT_ATTEMPTS = 100;

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final Map<String, Peer> peers = new TreeMap<>();
    private VoterConnections connections;

    private static final class Peer implements Server.RequestHandler {
        private final BlockingQueue<RaftMsg> received = new LinkedBlockingQueue<>();
        private volatile HelloReply hello;
        private Voter address;
        private Server server;

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
            if (hello != null) {
                answer.accept(hello);
            }
        }
    }

    ScriptedPeers(Endpoint... endpoints) throws IOException {
        for (Endpoint endpoint : endpoints) {
            peers.put(endpoint.name(), startPeer(endpoint.name()));
        }
    }

    private Peer startPeer(String name) throws IOException {
        Peer peer = new Peer();
        for (int i = 0; peer.server == null; i++) {
            peer.address = new Voter(name, "127.0.0.1", freePort());
            try {
                peer.server = new Server(peer.address, eventLoops, peer);
            } catch (IOException e) {
                if (i >= MAX_PORT_ATTEMPTS) {
                    throw e;
                }
            }
        }
        return peer;
    }

    private static int freePort() throws IOException {
        for (int i = 0; ; i++) {
            int port = ThreadLocalRandom.current().nextInt(18_000, 32_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException e) {
                if (i >= MAX_PORT_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /** The voters of the group: these peers and the voter under test, which nobody calls. */
    List<Voter> voters(String tested) throws IOException {
        List<Voter> voters = new ArrayList<>();
        peers.values().forEach(peer -> voters.add(peer.address));
        voters.add(new Voter(tested, "127.0.0.1", freePort()));
        return voters;
    }

    VoterConnections connections(QuorumSettings settings) {
        connections = new VoterConnections(settings, eventLoops);
        return connections;
    }

    /** Sets the peer's answer to hello requests; without one it never answers. */
    void setHello(Endpoint peer, HelloReply hello) {
        peers.get(peer.name()).hello = hello;
    }

    /** Waits for the next message that the peer receives. */
    RaftMsg nextMessage(Endpoint peer) throws InterruptedException {
        RaftMsg message = peers.get(peer.name()).received.poll(20, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError(peer + " has received nothing");
        }
        return message;
    }

    /** Waits for the next message that the peer receives and the filter accepts. */
    RaftMsg nextMatching(Endpoint peer, Predicate<RaftMsg> filter) throws InterruptedException {
        RaftMsg message = nextMessage(peer);
        while (!filter.test(message)) {
            message = nextMessage(peer);
        }
        return message;
    }

    @Override
    public void close() {
        if (connections != null) {
            connections.close();
        }
        peers.values().forEach(peer -> peer.server.close());
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}

package postgrade.quorum.engine;

import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;

/**
 * Begins an era, on an operator's command, at one voter whose process is not running. It creates a
 * store with this voter as the only member; that voter then admits the others like any voter with a
 * new store. So an era has one beginning, not three that might differ.
 */
public final class EraInitializer {

    private static final long ERA_LIMIT = 1L << 22;

    /**
     * Allowance for the callbacks: each call ends by its own time limit, but a busy machine may
     * report that late, which does not stand against the era.
     */
    private static final long CALLBACK_ALLOWANCE_MILLIS = 60_000;

    private EraInitializer() {}

    /** Begins the era. Returns null on success, else the reason for the refusal. */
    public static String begin(QuorumSettings settings, long era) throws IOException {
        if (!settings.isVoter()) {
            return "name: " + settings.name() + " is not a voter; an era can only begin at a voter";
        }
        if (era < 1 || era >= ERA_LIMIT) {
            return "era: must lie between 1 and " + (ERA_LIMIT - 1);
        }
        if (VoterStore.exists(settings.store())) {
            VoterStore existing = VoterStore.open(settings.store());
            VoterStore.Metadata metadata = existing.metadata();
            existing.close();
            if (metadata.era() >= era) {
                return "era: the store is already in era "
                        + metadata.era()
                        + "; the new era must be greater";
            }
        }
        for (HelloReply reply : askOtherVoters(settings).values()) {
            if (reply.getEra() >= era) {
                return "era: "
                        + reply.getName()
                        + " is in era "
                        + reply.getEra()
                        + "; the new era must be greater";
            }
            if (!reply.getLeader().isEmpty()) {
                return "era: "
                        + reply.getName()
                        + " reports the leader "
                        + reply.getLeader()
                        + " in era "
                        + reply.getEra()
                        + "; that era still has a leader";
            }
        }
        if (VoterStore.exists(settings.store())) {
            VoterStore existing = VoterStore.open(settings.store());
            String retiredName = VoterStore.FILE + "." + existing.metadata().self().identity();
            existing.close();
            Files.move(
                    settings.store().resolve(VoterStore.FILE),
                    settings.store().resolve(retiredName));
        }
        Endpoint self = new Endpoint(settings.name(), Voter.newIdentity());
        VoterStore.create(
                        settings.store(),
                        new VoterStore.Metadata(
                                self,
                                era + "-" + Voter.newIdentity(),
                                era,
                                List.of(self.toString())))
                .close();
        return null;
    }

    private static Map<String, HelloReply> askOtherVoters(QuorumSettings settings)
            throws IOException {
        EventLoopGroup eventLoops = new NioEventLoopGroup(1);
        EngineThread thread = new EngineThread(settings.name(), settings.heartbeatIntervalMillis());
        VoterConnections connections = new VoterConnections(settings, eventLoops);
        CompletableFuture<PeerReplies> answers = new CompletableFuture<>();
        try {
            new PeerStatus(settings, connections, thread)
                    .sendHello(
                            HelloRequest.newBuilder().setName(settings.name()).build(),
                            settings.requestTimeoutMillis(),
                            answers::complete);
            return answers.get(
                            settings.requestTimeoutMillis() + CALLBACK_ALLOWANCE_MILLIS,
                            TimeUnit.MILLISECONDS)
                    .replies();
        } catch (InterruptedException
                | java.util.concurrent.ExecutionException
                | TimeoutException e) {
            throw new IOException("the other voters could not be queried", e);
        } finally {
            connections.close();
            thread.close();
            eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}

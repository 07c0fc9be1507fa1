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
import postgrade.quorum.wire.Links;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;

/**
 * Begins an era: an operator's step, at one voter whose process does not run. It makes a store with
 * one voter in it; the others are taken in by it as any voter is whose store is new. So there is
 * one beginning, not three that might differ.
 */
public final class EraBegin {

    private static final long MOST_ERA = 1L << 22;

    /**
     * Each call ends by itself in time; that is told late on a busy machine, which is no answer
     * against an era.
     */
    private static final long TOLD_MILLIS = 60_000;

    private EraBegin() {}

    /** What stands against it, or null where it has been done. */
    public static String begin(QuorumSettings settings, long era) throws IOException {
        if (!settings.votes()) {
            return "name: " + settings.name() + " is no voter, and an era begins at one";
        }
        if (era < 1 || era >= MOST_ERA) {
            return "era: must lie between 1 and " + (MOST_ERA - 1);
        }
        if (VoterStore.exists(settings.store())) {
            VoterStore here = VoterStore.open(settings.store());
            VoterStore.Facts facts = here.facts();
            here.close();
            if (facts.era() >= era) {
                return "era: the store is in era " + facts.era() + ", a new one must lie above";
            }
        }
        for (HelloReply r : others(settings).values()) {
            if (r.getEra() >= era) {
                return "era: "
                        + r.getName()
                        + " is in era "
                        + r.getEra()
                        + ", a new one must lie above";
            }
            if (!r.getLeader().isEmpty()) {
                return "era: "
                        + r.getName()
                        + " is served by "
                        + r.getLeader()
                        + " in era "
                        + r.getEra()
                        + ", which need not end";
            }
        }
        if (VoterStore.exists(settings.store())) {
            VoterStore here = VoterStore.open(settings.store());
            String aside = VoterStore.FILE + "." + here.facts().self().identity();
            here.close();
            Files.move(settings.store().resolve(VoterStore.FILE), settings.store().resolve(aside));
        }
        Endpoint self = new Endpoint(settings.name(), Voter.identity());
        VoterStore.create(
                        settings.store(),
                        new VoterStore.Facts(
                                self, era + "-" + Voter.identity(), era, List.of(self.toString())))
                .close();
        return null;
    }

    private static Map<String, HelloReply> others(QuorumSettings settings) throws IOException {
        EventLoopGroup events = new NioEventLoopGroup(1);
        EngineThread thread = new EngineThread(settings.name(), settings.heartbeatIntervalMillis());
        Links links = new Links(settings, events);
        CompletableFuture<Greeting> answers = new CompletableFuture<>();
        try {
            new Peers(settings, links, thread)
                    .greet(
                            HelloRequest.newBuilder().setName(settings.name()).build(),
                            settings.requestTimeoutMillis(),
                            answers::complete);
            return answers.get(settings.requestTimeoutMillis() + TOLD_MILLIS, TimeUnit.MILLISECONDS)
                    .replies();
        } catch (InterruptedException
                | java.util.concurrent.ExecutionException
                | TimeoutException e) {
            throw new IOException("the other voters could not be asked", e);
        } finally {
            links.close();
            thread.close();
            events.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}

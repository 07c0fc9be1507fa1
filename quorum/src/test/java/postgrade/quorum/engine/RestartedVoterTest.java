package postgrade.quorum.engine;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.RaftCodec;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;
import postgrade.quorum.wire.proto.RaftMsg;

/**
 * A restarted voter between two scripted peers, on a clock that moves only when the test says so.
 * Guards against a rolling restart that deposes a healthy leader.
 */
public class RestartedVoterTest {

    private static final String GROUP = "1-test";
    private static final int HEARTBEAT_INTERVAL_MILLIS = 10;
    private static final int ELECTION_TIMEOUT_MILLIS = 400;

    private final RaftModelFactory model = new DefaultRaftModelFactory();
    private final Endpoint a = new Endpoint("a", "1");
    private final Endpoint b = new Endpoint("b", "2");
    private final Endpoint c = new Endpoint("c", "3");
    private final AtomicLong nowMicros = new AtomicLong(1_000_000_000);

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private ScriptedPeers peers;
    private Voter voter;

    @Before
    public void open() throws Exception {
        peers = new ScriptedPeers(a, c);
    }

    @After
    public void close() throws Exception {
        if (voter != null) {
            voter.close(() -> {});
            assertTrue(voter.awaitClosed(20_000));
        }
        peers.close();
    }

    private void start() throws Exception {
        Path store = folder.getRoot().toPath();
        List<String> members = List.of(a.toString(), b.toString(), c.toString());
        VoterStore.create(store, new VoterStore.Metadata(b, GROUP, 1, members)).close();
        QuorumSettings settings =
                new QuorumSettings(
                        "b",
                        1,
                        peers.voters("b"),
                        store,
                        2_000_000,
                        500,
                        50,
                        HEARTBEAT_INTERVAL_MILLIS,
                        ELECTION_TIMEOUT_MILLIS);
        voter =
                new Voter(
                        settings,
                        List.of(),
                        nowMicros::get,
                        peers.connections(settings),
                        new FaultStatus("b"));
        voter.start();
        while (askHello().getMembersCount() == 0) {
            Thread.onSpinWait(); // Each iteration waits for the voter's own answer.
        }
    }

    private HelloReply askHello() throws Exception {
        CompletableFuture<HelloReply> reply = new CompletableFuture<>();
        voter.requestHandler()
                .hello(HelloRequest.newBuilder().setName("c").build(), reply::complete);
        return reply.get(20, TimeUnit.SECONDS);
    }

    private HelloReply.Builder peerHello(Endpoint peer) {
        return HelloReply.newBuilder()
                .setName(peer.name())
                .setIdentity(peer.identity())
                .setGroup(GROUP)
                .setEra(1);
    }

    private HelloReply peerFollowing(Endpoint peer, Endpoint leader) {
        return peerHello(peer).setLeader(leader.name()).setLeads(peer.equals(leader)).build();
    }

    private RaftMsg preVoteRequest() {
        return RaftCodec.encode(
                model.createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(c)
                        .setTerm(1)
                        .setLastLogTerm(0)
                        .setLastLogIndex(0)
                        .build(),
                b.toString());
    }

    private RaftMsg voteRequest(boolean sticky) {
        return RaftCodec.encode(
                model.createVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(c)
                        .setTerm(1)
                        .setLastLogTerm(0)
                        .setLastLogIndex(0)
                        .setSticky(sticky)
                        .build(),
                b.toString());
    }

    /**
     * Returns whether the voter grants a vote, and checks that it has requested none itself before.
     */
    private boolean grantsVote(RaftMsg request) throws Exception {
        voter.requestHandler().raft(request);
        RaftMsg first = peers.nextMessage(c);
        assertTrue(
                "an answer, not a request of its own: " + first, RaftCodec.isVoteResponse(first));
        assertEquals(b.toString(), first.getSender());
        return first.getFlag();
    }

    private void assertPreVoteRequested(Endpoint peer) throws Exception {
        RaftMessage request = RaftCodec.decode(peers.nextMessage(peer));
        assertTrue(request.toString(), request instanceof PreVoteRequest);
    }

    @Test
    public void neitherRequestsNorGrantsVotesUnderALeader() throws Exception {
        peers.setHello(a, peerFollowing(a, a));
        peers.setHello(c, peerHello(c).build());
        start();
        assertFalse(grantsVote(preVoteRequest()));
        assertFalse(grantsVote(voteRequest(true)));
    }

    /** The leader may be slow to answer, but a peer that follows it shows that it is alive. */
    @Test
    public void leaderFollowedByAPeerCountsAsAlive() throws Exception {
        peers.setHello(a, peerHello(a).build());
        peers.setHello(c, peerFollowing(c, a));
        start();
        assertFalse(grantsVote(preVoteRequest()));
    }

    @Test
    public void leaderSilentForAnElectionTimeoutIsReplaced() throws Exception {
        peers.setHello(a, peerFollowing(a, a));
        peers.setHello(c, peerHello(c).build());
        start();
        assertFalse(grantsVote(preVoteRequest()));
        nowMicros.addAndGet(ELECTION_TIMEOUT_MILLIS * 1000L);
        assertPreVoteRequested(a);
        voter.requestHandler().raft(preVoteRequest());
        assertTrue(peers.nextMatching(c, RaftCodec::isVoteResponse).getFlag());
    }

    /** All voters start together: there is no leader to wait for. */
    @Test
    public void requestsAndGrantsVotesAtOnceWithoutALeader() throws Exception {
        peers.setHello(a, peerHello(a).build());
        peers.setHello(c, peerHello(c).build());
        start();
        assertPreVoteRequested(a);
        voter.requestHandler().raft(preVoteRequest());
        assertTrue(peers.nextMatching(c, RaftCodec::isVoteResponse).getFlag());
    }

    /**
     * The voter led before its restart, and its peers report it as leader until an election timeout
     * is over.
     */
    @Test
    public void formerLeaderDoesNotWaitForItself() throws Exception {
        peers.setHello(a, peerFollowing(a, b));
        peers.setHello(c, peerFollowing(c, b));
        start();
        assertPreVoteRequested(a);
    }

    @Test
    public void unresponsivePeerMayBeLeader() throws Exception {
        peers.setHello(c, peerHello(c).build());
        start();
        assertFalse(grantsVote(preVoteRequest()));
    }

    @Test
    public void stopsWaitingOncePeersReportNoLeader() throws Exception {
        peers.setHello(c, peerHello(c).build());
        start();
        assertFalse(grantsVote(preVoteRequest()));
        peers.setHello(a, peerHello(a).build());
        assertPreVoteRequested(a);
    }

    /** The successor in a leadership transfer requests votes itself. */
    @Test
    public void grantsVoteForLeadershipTransfer() throws Exception {
        peers.setHello(a, peerFollowing(a, a));
        peers.setHello(c, peerHello(c).build());
        start();
        assertTrue(grantsVote(voteRequest(false)));
    }

    /** Only vote and pre-vote requests are refused; all other messages pass. */
    @Test
    public void messageKindsDecodeToTheirTypes() {
        assertTrue(RaftCodec.decode(preVoteRequest()) instanceof PreVoteRequest);
        assertTrue(RaftCodec.decode(voteRequest(true)) instanceof VoteRequest);
    }
}

package postgrade.quorum.engine;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.RaftMessage;
import org.junit.Test;
import postgrade.quorum.wire.Endpoint;
import postgrade.quorum.wire.RaftCodec;
import postgrade.quorum.wire.proto.HelloReply;

/** Which messages of a voter its store has to hold after a restart. */
public class PeerPromisesTest {

    private static final String GROUP = "1-test";

    private final RaftModelFactory model = new DefaultRaftModelFactory();
    private final Endpoint voter = new Endpoint("b", "2");
    private final PeerPromises promises = new PeerPromises();

    private void receive(RaftMessage message) {
        promises.observe(RaftCodec.encode(message, "a/1"));
    }

    private boolean exceedsStore(int term, long lastIndex) {
        HelloReply.Builder reply = HelloReply.newBuilder();
        promises.addTo(voter.toString(), reply);
        return PeerPromises.exceedsStore(reply.build(), 1, term, lastIndex);
    }

    private RaftMessage voteRequest(int term) {
        return model.createVoteRequestBuilder()
                .setGroupId(GROUP)
                .setSender(voter)
                .setTerm(term)
                .setSticky(true)
                .build();
    }

    /**
     * Guards against a store that is taken for an older copy after a vote that never took place.
     */
    @Test
    public void preVoteIsNoPromise() {
        receive(voteRequest(3));
        receive(
                model.createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(voter)
                        .setTerm(4)
                        .build());
        receive(
                model.createPreVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(voter)
                        .setTerm(5)
                        .setGranted(true)
                        .build());
        assertFalse(exceedsStore(3, 0));
        assertTrue("the vote request is a promise", exceedsStore(2, 9));
    }

    @Test
    public void acknowledgedEntryIsAPromise() {
        receive(
                model.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(voter)
                        .setTerm(3)
                        .setLastLogIndex(7)
                        .build());
        assertTrue(exceedsStore(3, 6));
        assertFalse(exceedsStore(3, 7));
        assertFalse(exceedsStore(4, 0));
    }
}

package postgrade.quorum.engine;

import java.util.HashMap;
import java.util.Map;
import postgrade.quorum.wire.RaftCodec;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.RaftMsg;

/**
 * The votes and acknowledgements that a voter has seen from its peers, by identity. A restarted
 * peer is sent them, so that it can detect that its store is an older copy.
 */
final class PeerPromises {

    /**
     * Highest promise of one peer.
     *
     * @param index the highest entry acknowledged within that term; a log never gets shorter within
     *     one term
     */
    private record Promise(int term, long index) {}

    private static final int APPEND_SUCCESS = 2;
    private final Map<String, Promise> promises = new HashMap<>();

    /** Records what the sender has promised; ignores messages that promise nothing. */
    void observe(RaftMsg message) {
        if (RaftCodec.isPreVote(message)) {
            return; // A pre-vote carries a prospective term, which the sender has not persisted.
        }
        long index = message.getKind() == APPEND_SUCCESS ? message.getLogIndex() : 0;
        promises.merge(
                message.getSender(),
                new Promise(message.getTerm(), index),
                (known, latest) ->
                        latest.term > known.term
                                ? latest
                                : latest.term < known.term || latest.index <= known.index
                                        ? known
                                        : latest);
    }

    void addTo(String endpoint, HelloReply.Builder reply) {
        Promise promise = promises.get(endpoint);
        if (promise != null) {
            reply.setSeenTerm(promise.term).setSeenIndex(promise.index);
        }
    }

    /** Whether a peer has seen more from this voter than its store holds. */
    static boolean exceedsStore(HelloReply reply, long boot, int term, long lastIndex) {
        return reply.getSeenBoot() > boot
                || reply.getSeenTerm() > term
                || reply.getSeenTerm() == term && reply.getSeenIndex() > lastIndex;
    }
}

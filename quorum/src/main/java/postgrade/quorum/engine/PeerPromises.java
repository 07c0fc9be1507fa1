package postgrade.quorum.engine;

import java.util.HashMap;
import java.util.Map;
import postgrade.quorum.wire.RaftCodec;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.RaftMsg;

/**
 * What a voter has seen of its peers' promises, by identity: told to a peer that comes back, so
 * that it finds out when its store is an older copy of what it has promised on.
 */
final class PeerPromises {

    /**
     * @param index the highest entry acknowledged within that term; within one term a log never
     *     gets shorter
     */
    private record Promise(int term, long index) {}

    private static final int APPEND_SUCCESS = 2;
    private final Map<String, Promise> promises = new HashMap<>();

    /** Takes in what the sender has promised; a message that promises nothing is passed over. */
    void record(RaftMsg m) {
        if (RaftCodec.isPreVote(m)) {
            return; // Its term is one that may come, and that the sender has not written down.
        }
        long index = m.getKind() == APPEND_SUCCESS ? m.getLogIndex() : 0;
        promises.merge(
                m.getSender(),
                new Promise(m.getTerm(), index),
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

    /** Whether a peer has seen more of this voter than its store holds. */
    static boolean exceedsStore(HelloReply reply, long boot, int term, long lastIndex) {
        return reply.getSeenBoot() > boot
                || reply.getSeenTerm() > term
                || reply.getSeenTerm() == term && reply.getSeenIndex() > lastIndex;
    }
}

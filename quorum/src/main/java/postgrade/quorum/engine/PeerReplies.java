package postgrade.quorum.engine;

import java.util.Map;
import java.util.Set;
import postgrade.quorum.wire.proto.HelloReply;

/**
 * What the other voters said when they were asked what they are.
 *
 * @param replies by the name of the voter
 * @param timedOut the voters that could be reached, or may be there, and did not answer in time;
 *     one whose process does not run is not among them
 */
record PeerReplies(Map<String, HelloReply> replies, Set<String> timedOut) {

    /**
     * Whether a voter other than this one may lead the group now: one says that it does, or that it
     * follows one, or has said nothing.
     *
     * @param self this voter's name; peers go on naming it for a while where it led before
     */
    boolean mayHaveLeader(String group, String self) {
        return !timedOut.isEmpty()
                || replies.values().stream()
                        .filter(reply -> reply.getGroup().equals(group))
                        .map(HelloReply::getLeader)
                        .anyMatch(leader -> !leader.isEmpty() && !leader.equals(self));
    }
}

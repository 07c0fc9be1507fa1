package postgrade.quorum.engine;

import java.util.Map;
import java.util.Set;
import postgrade.quorum.wire.proto.HelloReply;

/**
 * The replies of the other voters to one round of hello requests.
 *
 * @param replies by voter name
 * @param timedOut the voters that are or may be reachable but did not answer in time; a voter whose
 *     process is not running is not among them
 */
record PeerReplies(Map<String, HelloReply> replies, Set<String> timedOut) {

    /**
     * Whether another voter may lead the group now: a peer says that it leads or follows one, or
     * has not answered.
     *
     * @param self this voter's name, which peers keep reporting for a while if it led before its
     *     restart
     */
    boolean mayHaveLeader(String group, String self) {
        return !timedOut.isEmpty()
                || replies.values().stream()
                        .filter(reply -> reply.getGroup().equals(group))
                        .map(HelloReply::getLeader)
                        .anyMatch(leader -> !leader.isEmpty() && !leader.equals(self));
    }
}

package postgrade.quorum.engine;

import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;
import postgrade.quorum.wire.proto.RaftMsg;

/**
 * Logs this voter's part in elections, so that a change of leader can be traced afterwards: the
 * votes it requests and grants, and those it refuses because it has just restarted. Messages that
 * repeat for as long as there is no quorum are left out.
 */
final class VoteLog {

    private static final Logger LOG = LoggerFactory.getLogger(VoteLog.class);
    private static final String EVENT = "sharing.vote";

    private final String process;

    VoteLog(String process) {
        this.process = process;
    }

    /**
     * Logs a message that the engine sends, if it is part of an election.
     *
     * @param leader the leader that this voter follows, or null
     */
    void logSent(RaftMessage message, Object target, String leader) {
        if (message instanceof PreVoteResponse response && response.isGranted()) {
            log("grants a pre-vote to " + target, message.getTerm(), leader);
        } else if (message instanceof VoteResponse response && response.isGranted()) {
            log("grants its vote to " + target, message.getTerm(), leader);
        } else if (message instanceof VoteRequest) {
            log("asks " + target + " for its vote", message.getTerm(), leader);
        }
    }

    /** Logs that a vote request is refused because this voter has just restarted. */
    void logRefused(RaftMsg request, String leader) {
        String text = "has just restarted and refuses a vote to " + request.getSender();
        log(text, request.getTerm(), leader);
    }

    private void log(String text, int term, String leader) {
        Events.info(LOG, EVENT)
                .addKeyValue("process", process)
                .addKeyValue("term", term)
                .addKeyValue("leader", leader == null ? "" : leader)
                .log(process + " " + text);
    }
}

package postgrade.quorum.engine;

import io.microraft.RaftNode;
import io.microraft.report.RaftLogStats;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * Logs the positions of a leader's log when it has not advanced for long, so that a slow disk, a
 * slow follower and a fault of the consensus engine can be told apart afterwards.
 */
final class CommitStallLog {

    private static final Logger LOG = LoggerFactory.getLogger(CommitStallLog.class);

    private CommitStallLog() {}

    /**
     * Logs the leader's log indexes as soon as the engine reports them.
     *
     * @param slowestWriteMillis the longest recent write of the store
     */
    static void log(String process, RaftNode node, long slowestWriteMillis) {
        node.getReport()
                .thenAccept(
                        report -> log(process, report.getResult().getLog(), slowestWriteMillis));
    }

    private static void log(String process, RaftLogStats stats, long slowestWriteMillis) {
        Events.warn(LOG, "sharing.commit-stalled")
                .addKeyValue("process", process)
                .addKeyValue("last", stats.getLastLogOrSnapshotIndex())
                .addKeyValue("committed", stats.getCommitIndex())
                .addKeyValue("followers", stats.getFollowerMatchIndices().toString())
                .addKeyValue("slowest_write_ms", slowestWriteMillis)
                .log("a log entry was neither committed nor rejected in time");
    }
}

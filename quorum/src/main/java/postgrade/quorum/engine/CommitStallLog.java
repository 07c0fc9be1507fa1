package postgrade.quorum.engine;

import io.microraft.RaftNode;
import io.microraft.report.RaftLogStats;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * Logs how far a leader's log is where it has not moved on for long: what tells a slow disk here, a
 * slow follower and a fault of the engine apart afterwards.
 */
final class CommitStallLog {

    private static final Logger LOG = LoggerFactory.getLogger(CommitStallLog.class);

    private CommitStallLog() {}

    /**
     * @param slowestWriteMillis the longest that the store has taken to write lately
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
                .log("an entry was neither committed nor refused in time");
    }
}

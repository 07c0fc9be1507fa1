package postgrade.quorum.engine;

import io.microraft.RaftNode;
import io.microraft.exception.CannotReplicateException;
import java.util.function.LongSupplier;
import postgrade.shared.ReplicatedStateMachine;

/**
 * Advances the log's time, while this voter leads, by what its own monotonic clock has measured.
 *
 * <p>No period of time is logged twice, and none in which nobody led. Within a term only its
 * leader's entries are committed, and each advances the time from where the last committed one
 * ended. A leader starts measuring when it sees that it leads. By then a majority has left the
 * previous leader, so that leader's entries were proposed earlier. A period that was proposed and
 * may yet be committed is never proposed again. An entry without an outcome for so long that it is
 * taken for lost counts as committed, so that the time may be late but never stands still. A leader
 * that was suspended advances by at most {@code maxAdvanceMicros}; the rest is not logged, so that
 * nothing expires for lack of renewals that the leader could not receive. The first entry of a
 * leader does not advance the time: it commits what earlier leaders left uncommitted, and no
 * earlier period may be counted after that.
 */
final class LogClock {

    private static final int NO_TERM = -1;

    /**
     * Multiple of the maximum advance after which an entry without an outcome is taken for lost.
     */
    private static final int LOST_AFTER_MAX_ADVANCES = 4;

    private final String name;
    private final long incarnation;
    private final LongSupplier nowMicros;
    private final long maxAdvanceMicros;
    private final long minAdvanceMicros;

    /** Local time up to which this term's time is logged. */
    private long loggedUntilMicros;

    private int term = NO_TERM;
    private boolean pending;

    /** When the latest entry was proposed. */
    private long proposedMicros;

    /** Number of entries proposed; only the outcome of the latest one counts. */
    private int proposals;

    /** Whether the latest entry failed in a way that leaves open whether it is committed. */
    private boolean indeterminate;

    /** Whether an entry of this term is committed, and with it all earlier entries. */
    private boolean committedInTerm;

    LogClock(
            String name,
            long incarnation,
            LongSupplier nowMicros,
            long maxAdvanceMicros,
            long minAdvanceMicros) {
        this.name = name;
        this.incarnation = incarnation;
        this.nowMicros = nowMicros;
        this.minAdvanceMicros = minAdvanceMicros;
        this.maxAdvanceMicros =
                Math.min(maxAdvanceMicros, ReplicatedStateMachine.MAX_ADVANCE_MICROS);
    }

    /** Discards the measurement after a change of leader. */
    void reset() {
        term = NO_TERM;
        pending = false;
    }

    /**
     * Proposes an entry if one is due.
     *
     * @return whether the previous entry was taken for lost
     */
    boolean tick(RaftNode node) {
        if (!node.getLocalEndpoint().equals(node.getTerm().getLeaderEndpoint())) {
            reset();
            return false;
        }
        int currentTerm = node.getTerm().getTerm();
        long currentMicros = nowMicros.getAsLong();
        if (term != currentTerm) {
            term = currentTerm;
            loggedUntilMicros = currentMicros;
            pending = false;
            committedInTerm = false;
        }
        boolean lost =
                pending
                        && !indeterminate
                        && currentMicros - proposedMicros
                                > LOST_AFTER_MAX_ADVANCES * maxAdvanceMicros;
        if (lost) {
            loggedUntilMicros = proposedMicros;
            pending = false;
        }
        if (!pending
                && (!committedInTerm
                        || currentMicros > loggedUntilMicros
                                && currentMicros - loggedUntilMicros >= minAdvanceMicros)) {
            propose(node, currentTerm, currentMicros);
        }
        return lost;
    }

    private void propose(RaftNode node, int currentTerm, long currentMicros) {
        pending = true;
        indeterminate = false;
        proposedMicros = currentMicros;
        int proposal = ++proposals;
        long advanceMicros =
                committedInTerm ? Math.min(maxAdvanceMicros, currentMicros - loggedUntilMicros) : 0;
        node.replicate(ReplicatedStateMachine.advance(name, incarnation, advanceMicros))
                .whenComplete(
                        (done, failure) -> {
                            if (term != currentTerm || proposal != proposals) {
                                return;
                            }
                            if (failure == null) {
                                loggedUntilMicros = currentMicros;
                                committedInTerm = true;
                                pending = false;
                            } else if (cause(failure) instanceof CannotReplicateException) {
                                pending = false; // Not logged; covered by the next.
                            }
                            // Otherwise it may still be committed, so this period is not proposed
                            // again within this term.
                            indeterminate = pending;
                        });
    }

    private static Throwable cause(Throwable failure) {
        return failure.getCause() == null ? failure : failure.getCause();
    }
}

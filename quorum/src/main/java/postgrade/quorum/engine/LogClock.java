package postgrade.quorum.engine;

import io.microraft.RaftNode;
import io.microraft.exception.CannotReplicateException;
import java.util.function.LongSupplier;
import postgrade.shared.Machine;

/**
 * Moves the log's time on, while this voter leads, by what its own monotonic clock has measured.
 *
 * <p>No moment is logged twice, and none that nobody led. Within a term only its leader's entries
 * are committed, and each tells the time from where the last committed one ended. A leader begins
 * to measure when it sees that it leads, which is after a majority has turned from the one before:
 * that one's entries were proposed earlier. What was asked for and may yet be committed is never
 * told again; an entry of which nothing is heard for so long that it is taken for lost counts as
 * committed, so that the time is at most late and never stands still. A leader that slept tells at
 * most {@code most}: what it slept beyond is lost to the log, so that nothing expires for want of
 * renewals that it could not take. Its first entry tells no time: what leaders before it left
 * uncommitted commits with that, and no time from before may be counted behind it.
 */
final class LogClock {

    private static final int NO_TERM = -1;

    /** An entry not heard of for so many times the most that one tells is taken for lost. */
    private static final int LOST_AFTER_MAX_ADVANCES = 4;

    private final String name;
    private final long incarnation;
    private final LongSupplier nowMicros;
    private final long maxAdvanceMicros;
    private final long minAdvanceMicros;

    /** Up to where the time of this term is logged. */
    private long loggedUntilMicros;

    private int term = NO_TERM;
    private boolean pending;

    /** When the latest entry was proposed. */
    private long proposedMicros;

    /** How many entries were proposed: an answer counts for the latest alone. */
    private int proposals;

    /** The latest entry failed so that it may be committed all the same. */
    private boolean indeterminate;

    /** An entry of this leadership is committed, and with it all that was before. */
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
        this.maxAdvanceMicros = Math.min(maxAdvanceMicros, Machine.MOST_ADVANCE_MICROS);
    }

    /** Who leads has changed: what was measured so far counts no more. */
    void reset() {
        term = NO_TERM;
        pending = false;
    }

    /**
     * Proposes what is due.
     *
     * @return whether the entry before was taken for lost
     */
    boolean tick(RaftNode node) {
        if (!node.getLocalEndpoint().equals(node.getTerm().getLeaderEndpoint())) {
            reset();
            return false;
        }
        int current = node.getTerm().getTerm();
        long now = nowMicros.getAsLong();
        if (term != current) {
            term = current;
            loggedUntilMicros = now;
            pending = false;
            committedInTerm = false;
        }
        boolean lost =
                pending
                        && !indeterminate
                        && now - proposedMicros > LOST_AFTER_MAX_ADVANCES * maxAdvanceMicros;
        if (lost) {
            loggedUntilMicros = proposedMicros;
            pending = false;
        }
        if (!pending
                && (!committedInTerm
                        || now > loggedUntilMicros
                                && now - loggedUntilMicros >= minAdvanceMicros)) {
            propose(node, current, now);
        }
        return lost;
    }

    private void propose(RaftNode node, int current, long now) {
        pending = true;
        indeterminate = false;
        proposedMicros = now;
        int proposal = ++proposals;
        long advanceMicros =
                committedInTerm ? Math.min(maxAdvanceMicros, now - loggedUntilMicros) : 0;
        node.replicate(Machine.advance(name, incarnation, advanceMicros))
                .whenComplete(
                        (done, e) -> {
                            if (term != current || proposal != proposals) {
                                return;
                            }
                            if (e == null) {
                                loggedUntilMicros = now;
                                committedInTerm = true;
                                pending = false;
                            } else if (cause(e) instanceof CannotReplicateException) {
                                pending =
                                        false; // It never came into the log: the next one tells the
                                // same time.
                            }
                            // Else it may be committed yet: nothing more is told in this term by
                            // this measure.
                            indeterminate = pending;
                        });
    }

    private static Throwable cause(Throwable e) {
        return e.getCause() == null ? e : e.getCause();
    }
}

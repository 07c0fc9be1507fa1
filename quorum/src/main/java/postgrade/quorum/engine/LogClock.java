package postgrade.quorum.engine;

import io.microraft.RaftNode;
import io.microraft.exception.CannotReplicateException;
import java.util.function.LongSupplier;
import postgrade.shared.ReplicatedStateMachine;

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

    private static final int NONE = -1;

    /** An entry not heard of for so many times the most that one tells is taken for lost. */
    private static final int LOST_AFTER = 4;

    private final String name;
    private final long incarnation;
    private final LongSupplier nowMicros;
    private final long most;
    private final long step;

    /** Up to where the time of this term is logged. */
    private long from;

    private int term = NONE;
    private boolean asked;

    /** When the latest entry was proposed. */
    private long askedMicros;

    /** How many entries were proposed: an answer counts for the latest alone. */
    private int entries;

    /** The latest entry failed so that it may be committed all the same. */
    private boolean undecided;

    /** An entry of this leadership is committed, and with it all that was before. */
    private boolean begun;

    LogClock(String name, long incarnation, LongSupplier nowMicros, long most, long step) {
        this.name = name;
        this.incarnation = incarnation;
        this.nowMicros = nowMicros;
        this.step = step;
        this.most = Math.min(most, ReplicatedStateMachine.MAX_ADVANCE_MICROS);
    }

    /** Who leads has changed: what was measured so far counts no more. */
    void reset() {
        term = NONE;
        asked = false;
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
            from = now;
            asked = false;
            begun = false;
        }
        boolean lost = asked && !undecided && now - askedMicros > LOST_AFTER * most;
        if (lost) {
            from = askedMicros;
            asked = false;
        }
        if (!asked && (!begun || now > from && now - from >= step)) {
            ask(node, current, now);
        }
        return lost;
    }

    private void ask(RaftNode node, int current, long now) {
        asked = true;
        undecided = false;
        askedMicros = now;
        int entry = ++entries;
        long by = begun ? Math.min(most, now - from) : 0;
        node.replicate(ReplicatedStateMachine.advance(name, incarnation, by))
                .whenComplete(
                        (done, e) -> {
                            if (term != current || entry != entries) {
                                return;
                            }
                            if (e == null) {
                                from = now;
                                begun = true;
                                asked = false;
                            } else if (cause(e) instanceof CannotReplicateException) {
                                asked = false; // It never came into the log: the next one tells the
                                // same time.
                            }
                            // Else it may be committed yet: nothing more is told in this term by
                            // this measure.
                            undecided = asked;
                        });
    }

    private static Throwable cause(Throwable e) {
        return e.getCause() == null ? e : e.getCause();
    }
}

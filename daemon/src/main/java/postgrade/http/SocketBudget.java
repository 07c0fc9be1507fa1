package postgrade.http;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * One budget for the sockets of all peers. Guards against running out of descriptors, which would
 * fail accepts and connects alike: when it is used up, an idle connection is closed for a new one.
 *
 * <p>Which one follows the segmented LRU scheme: connections are on probation until they have
 * proved useful, and the one of them that has been idle longest goes first. Guards the connections
 * that usual peers keep against hundreds of others that come and say nothing, or ask once and stay.
 */
public final class SocketBudget {

    /**
     * Accepted connections take this part at most, or busy consumers could leave none to reach a
     * provider.
     */
    private static final double MOST_ACCEPTED = 0.75;

    /** Places that only discovery may take: without it every decision ages. */
    private static final int FOR_DISCOVERY = 2;

    private int most;
    private int open;
    private final LinkedHashSet<Connection> onProbation = new LinkedHashSet<>();
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();

    public SocketBudget(int most) {
        this.most = most;
    }

    /** From now on so many places, which closes idle connections beyond them. */
    public void setLimit(int places) {
        most = places;
        for (LinkedHashSet<Connection> of : List.of(onProbation, idle)) {
            while (open > most && !of.isEmpty()) {
                of.iterator().next().evict();
            }
        }
    }

    /**
     * Takes a place for a connection that has been accepted, if need be by closing an idle one; one
     * place more than there are where the idle ones turn out not to be.
     *
     * @param anyIdle also one that is past its probation may be closed
     */
    public void acquireForAccept(boolean anyIdle) {
        if (!take((int) (most * MOST_ACCEPTED), anyIdle)) {
            open++;
        }
    }

    /**
     * Whether {@link #acquireForAccept} would find a place; nothing is closed for one that may not
     * come.
     */
    public boolean canAcquireForAccept(boolean anyIdle) {
        return open < (int) (most * MOST_ACCEPTED)
                || !onProbation.isEmpty()
                || anyIdle && !idle.isEmpty();
    }

    /** Takes a place for a connection of ours. */
    boolean takeToConnect(boolean toDiscovery) {
        return take(toDiscovery ? most : most - FOR_DISCOVERY, true);
    }

    private boolean take(int limit, boolean anyIdle) {
        while (open >= limit) {
            Iterator<Connection> oldest =
                    (onProbation.isEmpty() && anyIdle ? idle : onProbation).iterator();
            if (!oldest.hasNext()) {
                return false;
            }
            oldest.next().evict(); // Or it is idle no longer.
        }
        open++;
        return true;
    }

    public void release() {
        open--;
    }

    boolean isIdle(Connection c) {
        return idle.contains(c) || onProbation.contains(c);
    }

    void idle(Connection c, boolean isIdle, boolean isOnProbation) {
        // One that is idle already keeps its place.
        if (isIdle && isOnProbation) {
            idle.remove(c);
            onProbation.add(c);
        } else if (isIdle) {
            onProbation.remove(c);
            idle.add(c);
        } else {
            onProbation.remove(c);
            idle.remove(c);
        }
    }
}

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
    private static final double MAX_ACCEPTED_FRACTION = 0.75;

    /** Places that only discovery may take: without it every decision ages. */
    private static final int RESERVED_FOR_DISCOVERY = 2;

    private int capacity;
    private int open;
    private final LinkedHashSet<Connection> probationary = new LinkedHashSet<>();
    private final LinkedHashSet<Connection> protectedIdle = new LinkedHashSet<>();

    public SocketBudget(int capacity) {
        this.capacity = capacity;
    }

    /** From now on so many places, which closes idle connections beyond them. */
    public void setLimit(int newCapacity) {
        capacity = newCapacity;
        for (LinkedHashSet<Connection> segment : List.of(probationary, protectedIdle)) {
            while (open > capacity && !segment.isEmpty()) {
                segment.iterator().next().evict();
            }
        }
    }

    /**
     * Takes a place for a connection that has been accepted, if need be by closing an idle one; one
     * place more than there are where the idle ones turn out not to be.
     *
     * @param anyIdle also one that is past its probation may be closed
     */
    public void acquireForAccept(boolean mayEvictProtected) {
        if (!tryAcquire((int) (capacity * MAX_ACCEPTED_FRACTION), mayEvictProtected)) {
            open++;
        }
    }

    /**
     * Whether {@link #acquireForAccept} would find a place; nothing is closed for one that may not
     * come.
     */
    public boolean canAcquireForAccept(boolean mayEvictProtected) {
        return open < (int) (capacity * MAX_ACCEPTED_FRACTION)
                || !probationary.isEmpty()
                || mayEvictProtected && !protectedIdle.isEmpty();
    }

    /** Takes a place for a connection of ours. */
    boolean acquireForConnect(boolean toDiscovery) {
        return tryAcquire(toDiscovery ? capacity : capacity - RESERVED_FOR_DISCOVERY, true);
    }

    private boolean tryAcquire(int limit, boolean mayEvictProtected) {
        while (open >= limit) {
            Iterator<Connection> oldest =
                    (probationary.isEmpty() && mayEvictProtected ? protectedIdle : probationary)
                            .iterator();
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

    boolean isIdle(Connection connection) {
        return protectedIdle.contains(connection) || probationary.contains(connection);
    }

    void updateIdle(Connection connection, boolean isIdle, boolean isOnProbation) {
        // One that is idle already keeps its place.
        if (isIdle && isOnProbation) {
            protectedIdle.remove(connection);
            probationary.add(connection);
        } else if (isIdle) {
            probationary.remove(connection);
            protectedIdle.add(connection);
        } else {
            probationary.remove(connection);
            protectedIdle.remove(connection);
        }
    }
}

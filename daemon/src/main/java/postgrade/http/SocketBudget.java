package postgrade.http;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * A shared limit on the sockets of all peers. It prevents the process from running out of file
 * descriptors, which would make accepts and connects fail alike: when the limit is reached, an idle
 * connection is closed to make room for a new one.
 *
 * <p>Eviction follows the segmented LRU scheme: a connection is on probation until it has proved
 * useful, and of those on probation the one idle the longest is closed first. This protects the
 * connections of regular peers against hundreds of others that send nothing, or send one request
 * and stay open.
 */
public final class SocketBudget {

    /**
     * The maximum fraction for accepted connections; otherwise busy clients could leave no socket
     * to reach a worker.
     */
    private static final double MAX_ACCEPTED_FRACTION = 0.75;

    /** Places reserved for discovery: without it all decisions rely on an ageing worker list. */
    private static final int RESERVED_FOR_DISCOVERY = 2;

    private int capacity;
    private int open;
    private final LinkedHashSet<Connection> probationary = new LinkedHashSet<>();
    private final LinkedHashSet<Connection> protectedIdle = new LinkedHashSet<>();

    public SocketBudget(int capacity) {
        this.capacity = capacity;
    }

    /** Changes the capacity, closing idle connections above it. */
    public void setLimit(int newCapacity) {
        capacity = newCapacity;
        for (LinkedHashSet<Connection> segment : List.of(probationary, protectedIdle)) {
            while (open > capacity && !segment.isEmpty()) {
                segment.iterator().next().evict();
            }
        }
    }

    /**
     * Acquires a place for an accepted connection, if necessary by closing an idle one. If no idle
     * connection can be closed, the limit is exceeded by one.
     *
     * @param mayEvictProtected whether a connection past its probation may be closed too
     */
    public void acquireForAccept(boolean mayEvictProtected) {
        if (!tryAcquire((int) (capacity * MAX_ACCEPTED_FRACTION), mayEvictProtected)) {
            open++;
        }
    }

    /**
     * Whether {@link #acquireForAccept} would find a place. Closes no connection, because none may
     * arrive.
     */
    public boolean canAcquireForAccept(boolean mayEvictProtected) {
        return open < (int) (capacity * MAX_ACCEPTED_FRACTION)
                || !probationary.isEmpty()
                || mayEvictProtected && !protectedIdle.isEmpty();
    }

    /** Acquires a place for an outgoing connection. */
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
            // Closes the connection, or finds that it is no longer idle.
            oldest.next().evict();
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
        // A connection that is already idle keeps its position.
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

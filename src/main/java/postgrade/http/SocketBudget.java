package postgrade.http;

import java.util.Iterator;
import java.util.LinkedHashSet;

/**
 * One budget for the sockets of all peers. Guards against running out of descriptors, which would fail accepts and
 * connects alike: when it is used up, the connection that has been idle longest is closed for a new one.
 */
public final class SocketBudget {

    /** Accepted connections take this part at most, or busy consumers could leave none to reach a provider. */
    private static final double MOST_ACCEPTED = 0.75;

    private final int most;
    private int open;
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();

    public SocketBudget(int most) {
        this.most = most;
    }

    /** Takes a place for a connection to accept, if need be by closing an idle one. False if too many are busy. */
    public boolean takeToAccept() {
        return take((int) (most * MOST_ACCEPTED));
    }

    /** Takes a place for a connection of ours. */
    public boolean takeToConnect() {
        return take(most);
    }

    private boolean take(int limit) {
        if (open >= limit) {
            Iterator<Connection> oldest = idle.iterator();
            if (!oldest.hasNext()) {
                return false;
            }
            oldest.next().evict();
        }
        open++;
        return true;
    }

    public void giveBack() {
        open--;
    }

    void idle(Connection c, boolean isIdle) {
        if (isIdle) {
            idle.add(c); // One that is idle already keeps its place.
        } else {
            idle.remove(c);
        }
    }

    public int open() {
        return open;
    }
}

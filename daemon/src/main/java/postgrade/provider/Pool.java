package postgrade.provider;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import postgrade.gateway.Timers;
import postgrade.http.Connection;
import postgrade.http.Reactor;

/** The connections to one provider. A request takes an idle one, else waits for the one it has opened. */
final class Pool {
    /** A request waits so long for one of the connections in use, before one more is opened against the pace. */
    static final long PATIENCE_MICROS = 40_000;
    private final Reactor reactor;
    private final Timers timers;
    private final LongSupplier connectTimeoutMicros;
    private final KeepAlive keepAlive;
    final String id;
    InetSocketAddress address;
    boolean ready;
    /** Calls, and requests that give up, which keep the pool although the list has dropped the provider. */
    int users;
    private final ArrayDeque<Link> idle = new ArrayDeque<>();
    /** Have come up, and take what waits at the end of the turn. */
    private final ArrayDeque<Link> fresh = new ArrayDeque<>();
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();
    private int connecting;
    private int up;
    /** Connections that are opened against the pace once patience ends, if something still waits for them then. */
    private int postponed;
    private final Supplier<Pacing> pacing;

    Pool(String id, Reactor reactor, Timers timers, LongSupplier connectTimeoutMicros, KeepAlive keepAlive,
            Supplier<Pacing> pacing) {
        this.pacing = pacing;
        this.id = id;
        this.reactor = reactor;
        this.timers = timers;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.keepAlive = keepAlive;
    }

    String host() {
        return address.getHostString() + ":" + address.getPort();
    }

    void send(Request r) {
        Link link = takeIdle();
        if (link != null) {
            link.carry(r);
            return;
        }
        waiting.add(r);
        Pacing pace = pacing.get();
        boolean must = !connected();
        if (pace == null || pace.mayOpen(id, must) || must) {
            if (!open()) {
                waitInVain(r);
            }
        } else {
            postponed++;
            timers.at(timers.nowMicros() + PATIENCE_MICROS, () -> {
                postponed--;
                if (lacksOne()) {
                    pace.mayOpen(id, true); // Guards the request's time: what it waits for may be stuck.
                    openInPlace();
                }
            });
        }
    }

    private Link takeIdle() {
        for (Link link = idle.pollLast(); link != null; link = idle.pollLast()) {
            link.timer.cancel();
            // Guards against a connection that its provider has closed since the loop last looked at it, and one that
            // has been idle for too long by what has been learnt since.
            link.idleMicros = timers.nowMicros() - link.freeMicros;
            if (link.idleMicros < keepAlive.limitMicros(timers.nowMicros()) && link.connection.stillOpen()) {
                return link;
            }
            link.fail();
        }
        return null;
    }

    /** A connection is up, in use or not, or on its way. */
    boolean connected() {
        return up + connecting > 0;
    }

    /** More requests wait than connections will come for them. */
    private boolean lacksOne() {
        return waiting.size() > connecting + fresh.size() + postponed;
    }

    /** False if no socket is to be had. */
    private boolean open() {
        Link link = new Link(this, address);
        link.connection = Connection.open(reactor, address, link, false);
        if (link.connection == null) {
            return false;
        }
        connecting++;
        link.timer = timers.at(timers.nowMicros() + connectTimeoutMicros.getAsLong(), link::fail);
        return true;
    }

    /** One more for what has waited. */
    private void openInPlace() {
        if (!open()) {
            connectFailed();
        }
    }

    /** A connect failed: the request that has waited longest has lost its connection, unless another is due. */
    private void connectFailed() {
        if (lacksOne()) {
            waitInVain(waiting.peek());
        }
    }

    private void waitInVain(Request r) {
        waiting.remove(r);
        r.over = true;
        r.broken(Request.Break.NEVER_WRITTEN);
    }

    /** A link may carry the next request: it has been answered, or has come up. */
    void free(Link link) {
        link.idleMicros = 0;
        Request next = link.to.equals(address) ? nextInTime() : null;
        if (!link.to.equals(address)) {
            link.fail(); // Guards against a former process under this id: the list has named another address meanwhile.
            if (lacksOne()) {
                openInPlace();
            }
        } else if (next == null) {
            link.freeMicros = timers.nowMicros();
            idle.add(link);
            link.connection.idle(true, false);
            // Guards against the provider's own closing of idle connections: what is written then is reset.
            link.timer = timers.at(timers.nowMicros() + keepAlive.limitMicros(timers.nowMicros()), link::fail);
        } else {
            link.carry(next);
        }
    }

    /** Guards what must not run twice: a repeat whose connection has come up too late is not written. */
    private Request nextInTime() {
        Request next = waiting.poll();
        while (next != null && next.isLate(timers.nowMicros())) {
            next.over = true;
            next.broken(Request.Break.TOO_LATE);
            next = waiting.poll();
        }
        return next;
    }

    /**
     * Guards against a request whose consumer has left or whose time is over, of which we shall read later in this
     * turn: nothing is written before all channels have been served and the timers that are due have run.
     */
    void cameUp(Link link) {
        link.up = true;
        link.timer.cancel();
        connecting--;
        up++;
        fresh.add(link);
        timers.at(timers.nowMicros(), () -> {
            if (fresh.remove(link)) {
                free(link);
            }
        });
    }

    void dropped(Link link) {
        idle.remove(link);
        link.timer.cancel();
        if (link.up) {
            up--;
            if (fresh.remove(link)) {
                connectFailed();
            }
        } else {
            connecting--;
            connectFailed();
        }
    }

    /** A link has broken under a request that the provider has not answered. */
    void brokeAfterIdle(long idleMicros) {
        keepAlive.broke(timers.nowMicros(), idleMicros);
    }

    void withdraw(Request r) {
        waiting.remove(r);
        r.over = true;
    }

    /** Guards the drain rule: new work that still waits for a connection must not leave once it is up. */
    void drain() {
        ready = false;
        for (Request r : new ArrayList<>(waiting)) {
            if (r.isNewWork()) {
                withdraw(r);
                r.broken(Request.Break.DRAINED);
            }
        }
    }

    void closeIdle() {
        for (Link link : new ArrayList<>(idle)) {
            link.fail();
        }
    }

    boolean unused() {
        return users == 0 && waiting.isEmpty();
    }
}

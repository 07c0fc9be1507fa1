package postgrade.worker;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import postgrade.dispatch.Timers;
import postgrade.http.Connection;
import postgrade.http.NoSocketException;
import postgrade.http.Reactor;

/**
 * The connections to one worker. A request takes an idle one, else waits for one that rests or for
 * the one it has opened.
 */
final class Pool {
    /**
     * A request waits so long for one of the connections in use, before one more is opened against
     * the pace.
     */
    static final long PATIENCE_MICROS = 40_000;

    private final Reactor reactor;
    private final Timers timers;
    private final LongSupplier connectTimeoutMicros;
    private final KeepAlive keepAlive;
    final String id;
    InetSocketAddress address;
    boolean ready;

    /**
     * Calls, and requests that give up, which keep the pool although the list has dropped the
     * provider.
     */
    int users;

    private final FreeLinks free;
    private final WaitingRequests waiting = new WaitingRequests();
    private int connecting;
    private int fresh;
    private int up;
    private long heardMicros = Long.MIN_VALUE;

    /** Runs once the first of those that rest has rested; null unless something waits for it. */
    private Timers.Timer wake;

    /**
     * Connections that are opened against the pace once patience ends, if something still waits for
     * them then.
     */
    private int postponed;

    private final Supplier<ConnectLimiter> pacing;

    Pool(
            String id,
            Reactor reactor,
            Timers timers,
            LongSupplier connectTimeoutMicros,
            KeepAlive keepAlive,
            Supplier<ConnectLimiter> pacing) {
        this.pacing = pacing;
        this.id = id;
        this.reactor = reactor;
        this.timers = timers;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.keepAlive = keepAlive;
        free = new FreeLinks(timers, keepAlive);
    }

    String host() {
        return address.getHostString() + ":" + address.getPort();
    }

    void send(Request r) {
        Link link = waiting.isEmpty() ? free.take() : null;
        if (link != null) {
            link.carry(r);
            return;
        }
        waiting.add(r);
        if (free.resting() > 0 && !lacksOne()) {
            wakeForWaiting();
            return;
        }
        ConnectLimiter pace = pacing.get();
        boolean must = !connected();
        if (pace == null || pace.tryOpen(id, must) || must) {
            try {
                open();
            } catch (IOException e) {
                waiting.fail(r, breakBy(e));
            }
        } else {
            postponed++;
            timers.at(
                    timers.nowMicros() + PATIENCE_MICROS,
                    () -> {
                        postponed--;
                        replace(); // Guards the request's time: what it waits for may be stuck.
                    });
        }
    }

    /**
     * Sends the request on this link and no other, once that has rested: whoever answers in order
     * has then answered all that the link has carried before.
     */
    void sendAfterRest(Link link, Request r) {
        free.remove(link);
        link.reservedFor = r;
        r.reservedLink = link;
        if (lacksOne()) {
            timers.at(timers.nowMicros(), this::replace); // What has waited for it needs another.
        }
        timers.at(
                link.freeMicros + FreeLinks.REST_MICROS,
                () -> {
                    if (link.reservedFor == r && link.state() == Link.State.RESTING) {
                        link.to(Link.State.IDLE);
                        link.timer.cancel();
                        link.carry(r);
                    }
                });
    }

    /** A connection is up, in use or not, or on its way. */
    boolean connected() {
        return up + connecting > 0;
    }

    /** More requests wait than connections will come for them. */
    private boolean lacksOne() {
        return waiting.size() > connecting + fresh + postponed + free.resting();
    }

    private static Request.Break breakBy(IOException e) {
        return e instanceof NoSocketException
                ? Request.Break.NO_SOCKET
                : Request.Break.NEVER_WRITTEN;
    }

    private void open() throws IOException {
        Link link = new Link(this, address);
        link.connection = Connection.open(reactor, address, link, false);
        connecting++;
        link.timer = timers.at(timers.nowMicros() + connectTimeoutMicros.getAsLong(), link::fail);
    }

    /** One more for what has waited, if what it has waited for is gone. */
    private void replace() {
        if (lacksOne()) {
            ConnectLimiter pace = pacing.get();
            if (pace != null) {
                pace.tryOpen(id, true);
            }
            try {
                open();
            } catch (IOException e) {
                connectFailed(breakBy(e));
            }
        }
    }

    /**
     * A connect failed: the request that has waited longest has lost its connection, unless another
     * is due.
     */
    private void connectFailed(Request.Break how) {
        if (lacksOne()) {
            waiting.fail(waiting.first(), how);
        }
    }

    /** A link that has come up takes what waits. */
    private void give(Link link) {
        if (!isCurrent(link)) {
            link.fail();
            return;
        }
        fresh--;
        if (waiting.firstInTime(timers.nowMicros()) == null) {
            free.add(link, Link.State.IDLE);
        } else {
            link.carry(waiting.takeFirst());
        }
    }

    /** A link's request has been answered. */
    void answered(Link link) {
        if (isCurrent(link)) {
            free.add(link, Link.State.RESTING);
            wakeForWaiting();
        } else {
            link.fail();
            replace();
        }
    }

    /**
     * Guards against a former process under this id: the list may have named another address
     * meanwhile.
     */
    private boolean isCurrent(Link link) {
        return link.to.equals(address);
    }

    private void wakeForWaiting() {
        if (wake == null && !waiting.isEmpty() && free.resting() > 0) {
            // At the end of the turn: see cameUp.
            wake =
                    timers.at(
                            free.firstRestedMicros(),
                            () -> timers.at(timers.nowMicros(), this::giveRested));
        }
    }

    /** Those that have rested take what waits. */
    private void giveRested() {
        wake = null;
        while (waiting.firstInTime(timers.nowMicros()) != null) {
            Link link = free.take();
            if (link == null) {
                break;
            }
            link.carry(waiting.takeFirst());
        }
        wakeForWaiting();
    }

    /**
     * Guards against a request whose consumer has left or whose time is over, of which we shall
     * read later in this turn: nothing is written before all channels have been served and the
     * timers that are due have run.
     */
    void cameUp(Link link) {
        link.to(Link.State.FRESH);
        link.upMicros = timers.nowMicros();
        link.timer.cancel();
        connecting--;
        up++;
        fresh++;
        timers.at(
                timers.nowMicros(),
                () -> {
                    if (link.state() == Link.State.FRESH) {
                        give(link);
                    }
                });
    }

    /** A link has closed; what waits for it gets another, or has waited in vain. */
    void dropped(Link link, Link.State was) {
        link.timer.cancel();
        up -= was == Link.State.CONNECTING ? 0 : 1;
        switch (was) {
            case CONNECTING -> {
                connecting--;
                connectFailed(Request.Break.NEVER_WRITTEN);
            }
            case FRESH -> {
                fresh--;
                if (isCurrent(link)) {
                    connectFailed(Request.Break.NEVER_WRITTEN);
                } else {
                    replace();
                }
            }
            case IDLE, RESTING -> {
                free.remove(link);
                if (lacksOne()) {
                    // Not at once: the list may be about to name another address, or its place be
                    // wanted for another.
                    timers.at(timers.nowMicros(), this::replace);
                }
            }
            default -> {}
        }
    }

    /** The worker has said something, on any connection. */
    void heard() {
        heardMicros = timers.nowMicros();
    }

    /** Whether the worker has said anything in that turn or later. */
    boolean heardSince(long micros) {
        return heardMicros >= micros;
    }

    /** A link has broken under a request that the provider has not answered. */
    void brokeAfterIdle(long idleMicros) {
        keepAlive.broke(timers.nowMicros(), idleMicros);
    }

    /** The request is not written any more; a link that was kept for it may carry others. */
    void withdraw(Request r) {
        waiting.withdraw(r);
        Link kept = r.reservedLink;
        if (kept != null) {
            r.reservedLink = null;
            kept.reservedFor = null;
            free.putBack(kept);
            wakeForWaiting();
        }
    }

    /**
     * Guards the drain rule: new work that still waits for a connection must not leave once it is
     * up.
     */
    void drain() {
        ready = false;
        waiting.failNewWork();
    }

    void closeIdle() {
        free.close();
    }

    boolean unused() {
        return users == 0 && waiting.isEmpty();
    }
}

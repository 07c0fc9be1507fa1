package postgrade.discovery;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Timers;
import postgrade.http.Reactor;
import postgrade.log.Events;

/**
 * Watches the worker list. A watch that ends, or is silent for longer than {@link WatchTimeouts}
 * allows, is reopened from the last version after a pause. Without a version it starts from 0,
 * which returns the complete list.
 *
 * <p>The first object of a watch is sent at once, even if nothing has changed, and contains what
 * the previous watch missed. A request for the complete list in addition would add load and return
 * nothing more.
 *
 * <p>Discovery may move to another address. The versions at two addresses need not agree, so the
 * complete list is requested from the new address first. Until it has been received, the watch at
 * the previous address is still used, and its end is not logged as a loss.
 */
public final class DiscoveryWatch implements WatchConnection.Owner {

    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final long NEVER = -1;

    private final String dispatcherName;
    private final Reactor reactor;
    private final Timers timers;
    private final Consumer<WorkerList> listener;
    private final WatchTimeouts timeouts;
    private final WatchBackoff backoff;
    private InetSocketAddress address;
    private long version;

    /** Null during a pause. */
    private WatchConnection current;

    /**
     * The watch at the address before the last move, until the new address has sent its list; else
     * null.
     */
    private WatchConnection previous;

    /** Whether the complete list of the current address has not been received yet. */
    private boolean awaitsCompleteList;

    /** Whether the loss of the watch has been logged. */
    private boolean lost;

    private long lastContactMicros = NEVER;
    private long previousContactMicros = NEVER;

    /** The timer that ends the current pause; else null. */
    private Timers.Timer reopenTimer;

    /**
     * Creates a watch that is not open yet.
     *
     * @param dispatcherName the name of this dispatcher, by which its jitter differs from that of
     *     others
     * @param version the version of the list that is known already, 0 for none
     * @param listener receives the lists
     */
    public DiscoveryWatch(
            InetSocketAddress address,
            String dispatcherName,
            long version,
            WatchTimeouts timeouts,
            Reactor reactor,
            Timers timers,
            Consumer<WorkerList> listener) {
        this.address = address;
        this.dispatcherName = dispatcherName;
        this.version = version;
        this.timeouts = timeouts;
        this.reactor = reactor;
        this.timers = timers;
        this.listener = listener;
        backoff = new WatchBackoff(timeouts.firstFrameMicros(), dispatcherName.hashCode());
    }

    /**
     * Opens the watch, which then reopens itself. Must be called once, on the event loop thread.
     */
    public void open() {
        current =
                new WatchConnection(
                        this,
                        dispatcherName,
                        awaitsCompleteList,
                        backoff.nextTimeoutMicros(),
                        timeouts,
                        timers);
        current.open(reactor, address);
    }

    /** Returns the version of the current list. */
    @Override
    public long version() {
        return version;
    }

    /**
     * Returns when discovery was last heard from before the list that is being processed, in
     * microseconds, or -1 if never.
     */
    public long previousContactMicros() {
        return previousContactMicros;
    }

    /**
     * Returns the address that the current list came from; after a move, the address it will come
     * from.
     */
    public InetSocketAddress address() {
        return address;
    }

    /** Moves the watch to another address of discovery. */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Events.info(LOG, "watch.moving")
                .addKeyValue("from", address)
                .addKeyValue("to", newAddress)
                .log("worker list watch moves from " + address + " to " + newAddress);
        if (reopenTimer != null) {
            reopenTimer.cancel(); // No connection is open.
        } else if (awaitsCompleteList) {
            // This address has sent no list yet, so the watch before it stays in use.
            current.close();
        } else {
            previous = current;
        }
        current = null;
        address = newAddress;
        awaitsCompleteList = true;
        backoff.reset();
        reopenTimer = null;
        open();
    }

    // ---- Called by the connections.

    @Override
    public void frameReceived(WatchConnection source, int frames) {
        if (source == current) {
            recordContact(frames);
        }
    }

    private void recordContact(int frames) {
        backoff.frameReceived(frames);
        previousContactMicros = lastContactMicros;
        lastContactMicros = timers.nowMicros();
        if (lost) {
            lost = false;
            Events.info(LOG, "watch.back")
                    .addKeyValue("version", version)
                    .log("worker list watch is restored at version " + version);
        }
    }

    @Override
    public void changes(WatchConnection source, WorkerList list) {
        if (source == current) {
            version = list.version();
        }
        listener.accept(list);
    }

    @Override
    public void completeList(WorkerList list) {
        if (!list.complete()) {
            throw new IllegalArgumentException("list is not complete");
        }
        recordContact(1);
        awaitsCompleteList = false;
        version = list.version();
        Events.info(LOG, "watch.moved")
                .addKeyValue("to", address)
                .addKeyValue("version", version)
                .log("worker list watch has moved to " + address + " at version " + version);
        if (previous != null) {
            previous.close();
            previous = null;
        }
        listener.accept(list);
    }

    @Override
    public void closedAfterList(WatchConnection source) {
        open();
    }

    @Override
    public void ended(WatchConnection source, String reason, boolean wasSilent) {
        if (source == current) {
            reopenAfterPause(reason, wasSilent);
        } else if (source == previous) {
            // Discovery has moved, so its previous address closes open connections; this is not
            // logged.
            previous = null;
        }
    }

    private void reopenAfterPause(String reason, boolean wasSilent) {
        if (!lost) {
            lost = true;
            Events.warn(LOG, "watch.lost")
                    .addKeyValue("why", reason)
                    .addKeyValue("version", version)
                    .log(
                            "worker list watch lost ("
                                    + reason
                                    + "); keeping version "
                                    + version
                                    + " and reopening");
        }
        current = null;
        long whenMicros = timers.nowMicros() + backoff.nextPauseMicros(wasSilent);
        reopenTimer =
                timers.at(
                        whenMicros,
                        () -> {
                            reopenTimer = null;
                            open();
                        });
    }
}

package postgrade.discovery;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Timers;
import postgrade.http.Reactor;
import postgrade.log.Events;

/**
 * Watches the list of workers. A watch that ends, or is silent for longer than {@link
 * WatchTimeouts} allows, is opened again from the last version after a pause. Without any version
 * it starts from 0, which brings the complete list.
 *
 * <p>The first object of a watch is due at once, also when nothing has changed, and brings what the
 * former one missed: a call for the complete list beside it would add to the load and find nothing
 * more.
 *
 * <p>Discovery may move. Versions of two addresses need not agree, so the new one is asked for its
 * complete list first; until that has come the watch at the former address is still heard, and its
 * end is no alarm.
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

    /** Null while a pause lasts. */
    private WatchConnection current;

    /** At the address before the last move, until the new one has told its list; else null. */
    private WatchConnection previous;

    /** Whether the complete list of this address is still to be had. */
    private boolean awaitsCompleteList;

    /** Whether the log says that the watch is lost. */
    private boolean lost;

    private long lastContactMicros = NEVER;
    private long previousContactMicros = NEVER;

    /** Ends the pause that lasts; else null. */
    private Timers.Timer reopenTimer;

    /**
     * A watch that is not open yet.
     *
     * @param host this dispatcher's name, by which its pauses differ from those of others
     * @param version of the list known already, 0 for none
     * @param listener takes the lists in
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
     * Opens the watch; from then on it opens itself again. To be called once, on the loop's thread.
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

    /** The version of the list that is in force. */
    @Override
    public long version() {
        return version;
    }

    /**
     * When discovery was last heard before the list that is being taken in, in microseconds, or -1
     * if it never was.
     */
    public long previousContactMicros() {
        return previousContactMicros;
    }

    /** Where the list in force came from; after a move, where it is to come from. */
    public InetSocketAddress address() {
        return address;
    }

    /** Discovery is at this address from now on. */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Events.info(LOG, "watch.moving")
                .addKeyValue("from", address)
                .addKeyValue("to", newAddress)
                .log("watch of the provider list moves from " + address + " to " + newAddress);
        if (reopenTimer != null) {
            reopenTimer.cancel(); // No connection is open.
        } else if (awaitsCompleteList) {
            current.close(); // It has told nothing yet; the one before it is still the best.
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

    // ---- What its connections tell.

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
                    .log("watch of the provider list is back at version " + version);
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
            throw new IllegalArgumentException("not a whole list");
        }
        recordContact(1);
        awaitsCompleteList = false;
        version = list.version();
        Events.info(LOG, "watch.moved")
                .addKeyValue("to", address)
                .addKeyValue("version", version)
                .log(
                        "watch of the provider list has moved to "
                                + address
                                + " at version "
                                + version);
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
            previous = null; // Discovery has moved, and its former address ends what is open: no
            // alarm.
        }
    }

    private void reopenAfterPause(String reason, boolean wasSilent) {
        if (!lost) {
            lost = true;
            Events.warn(LOG, "watch.lost")
                    .addKeyValue("why", reason)
                    .addKeyValue("version", version)
                    .log(
                            "watch of the provider list lost ("
                                    + reason
                                    + "); kept at version "
                                    + version
                                    + " and opened again");
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

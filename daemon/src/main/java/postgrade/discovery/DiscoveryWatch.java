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

    private final String host;
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
    private WatchConnection former;

    /** Whether the complete list of this address is still to be had. */
    private boolean moved;

    /** Whether the log says that the watch is lost. */
    private boolean lost;

    private long heardMicros = NEVER;
    private long heardBeforeMicros = NEVER;

    /** Ends the pause that lasts; else null. */
    private Timers.Timer reopening;

    /**
     * A watch that is not open yet.
     *
     * @param host this dispatcher's name, by which its pauses differ from those of others
     * @param version of the list known already, 0 for none
     * @param listener takes the lists in
     */
    public DiscoveryWatch(
            InetSocketAddress address,
            String host,
            long version,
            WatchTimeouts timeouts,
            Reactor reactor,
            Timers timers,
            Consumer<WorkerList> listener) {
        this.address = address;
        this.host = host;
        this.version = version;
        this.timeouts = timeouts;
        this.reactor = reactor;
        this.timers = timers;
        this.listener = listener;
        backoff = new WatchBackoff(timeouts.firstFrameMicros(), host.hashCode());
    }

    /**
     * Opens the watch; from then on it opens itself again. To be called once, on the loop's thread.
     */
    public void open() {
        current =
                new WatchConnection(
                        this, host, moved, backoff.nextTimeoutMicros(), timeouts, timers);
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
        return heardBeforeMicros;
    }

    /** Where the list in force came from; after a move, where it is to come from. */
    public InetSocketAddress address() {
        return address;
    }

    /** Discovery is at this address from now on. */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        Events.info(LOG, "watch.moving")
                .addKeyValue("from", address)
                .addKeyValue("to", next)
                .log("watch of the provider list moves from " + address + " to " + next);
        if (reopening != null) {
            reopening.cancel(); // No connection is open.
        } else if (moved) {
            current.drop(); // It has told nothing yet; the one before it is still the best.
        } else {
            former = current;
        }
        current = null;
        address = next;
        moved = true;
        backoff.reset();
        reopening = null;
        open();
    }

    // ---- What its connections tell.

    @Override
    public void frameReceived(WatchConnection from, int frames) {
        if (from == current) {
            heard(frames);
        }
    }

    private void heard(int frames) {
        backoff.heard(frames);
        heardBeforeMicros = heardMicros;
        heardMicros = timers.nowMicros();
        if (lost) {
            lost = false;
            Events.info(LOG, "watch.back")
                    .addKeyValue("version", version)
                    .log("watch of the provider list is back at version " + version);
        }
    }

    @Override
    public void changes(WatchConnection from, WorkerList list) {
        if (from == current) {
            version = list.version();
        }
        listener.accept(list);
    }

    @Override
    public void completeList(WorkerList list) {
        if (!list.complete()) {
            throw new IllegalArgumentException("not a whole list");
        }
        heard(1);
        moved = false;
        version = list.version();
        Events.info(LOG, "watch.moved")
                .addKeyValue("to", address)
                .addKeyValue("version", version)
                .log(
                        "watch of the provider list has moved to "
                                + address
                                + " at version "
                                + version);
        if (former != null) {
            former.drop();
            former = null;
        }
        listener.accept(list);
    }

    @Override
    public void listEnded(WatchConnection which) {
        open();
    }

    @Override
    public void ended(WatchConnection which, String why, boolean wasSilent) {
        if (which == current) {
            reopenAfterPause(why, wasSilent);
        } else if (which == former) {
            former = null; // Discovery has moved, and its former address ends what is open: no
            // alarm.
        }
    }

    private void reopenAfterPause(String why, boolean wasSilent) {
        if (!lost) {
            lost = true;
            Events.warn(LOG, "watch.lost")
                    .addKeyValue("why", why)
                    .addKeyValue("version", version)
                    .log(
                            "watch of the provider list lost ("
                                    + why
                                    + "); kept at version "
                                    + version
                                    + " and opened again");
        }
        current = null;
        long whenMicros = timers.nowMicros() + backoff.nextPauseMicros(wasSilent);
        reopening =
                timers.at(
                        whenMicros,
                        () -> {
                            reopening = null;
                            open();
                        });
    }
}

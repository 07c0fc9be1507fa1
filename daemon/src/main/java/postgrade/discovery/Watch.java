package postgrade.discovery;

import com.eclipsesource.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Timers;
import postgrade.http.BadMessage;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;
import postgrade.http.Reactor;
import postgrade.log.Events;

/**
 * Watches the list of providers. A watch that ends, or is silent for longer than {@link Patience}
 * allows, is opened again from the last version after a pause. Without any version it starts from
 * 0, which brings the whole list. Only a whole line or a whole list counts as news: half a line
 * that drips on is silence.
 *
 * <p>The first object of a watch is due at once, also when nothing has changed, and brings what the
 * former one missed: a call for the whole list beside it would add to the load and find nothing
 * more.
 *
 * <p>Discovery may move. Versions of two addresses need not agree, so the new one is asked for its
 * whole list first; until that has come the watch at the former address is still heard, and its end
 * is no alarm.
 */
public final class Watch {

    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);

    /**
     * Bytes that were read in the very turn in which patience ends may be a whole line with the
     * next read.
     */
    private static final long MORE_MICROS = 50_000;

    /** Guards the memory against a list that never ends. */
    private static final int MOST_LIST = 4 << 20;

    private final String host;
    private final Reactor reactor;
    private final Timers timers;
    private final Consumer<TargetList> taker;
    private final Patience patience;
    private final Pace pace;
    private InetSocketAddress address;
    private long version;
    private Session session;

    /** The watch at the address before the last move, until the new one has told its list. */
    private Session former;

    /** The whole list of this address is still to be had. */
    private boolean moved;

    private boolean lost;
    private long heardMicros = -1;
    private long heardBeforeMicros = -1;
    private Timers.Timer again;

    /**
     * @param version of the list known already, 0 for none
     * @param host this dispatcher's name, by which its pauses differ from those of others
     */
    public Watch(
            InetSocketAddress address,
            String host,
            long version,
            Patience patience,
            Reactor reactor,
            Timers timers,
            Consumer<TargetList> taker) {
        this.address = address;
        this.host = host;
        this.version = version;
        this.patience = patience;
        pace = new Pace(patience.firstMicros(), host.hashCode());
        this.reactor = reactor;
        this.timers = timers;
        this.taker = taker;
    }

    public void open() {
        session = new Session(moved);
        try {
            session.connection = Connection.open(reactor, address, session, true);
        } catch (IOException e) {
            session.end("no connection: " + e.getMessage());
        }
    }

    /** The version of the list that is in force. */
    public long version() {
        return version;
    }

    /**
     * When discovery was last heard before the list that is being taken in, or -1 if it never was.
     */
    public long heardBeforeMicros() {
        return heardBeforeMicros;
    }

    /** Where that list came from; after a move, where it is to come from. */
    public InetSocketAddress address() {
        return address;
    }

    /** Discovery is at this address from now on. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        Events.info(LOG, "watch.moving")
                .addKeyValue("from", address)
                .addKeyValue("to", to)
                .log("watch of the provider list moves from " + address + " to " + to);
        if (again != null) {
            again.cancel(); // No session is open.
        } else if (moved) {
            session.drop(); // It has told nothing yet; the one before it is still the best.
        } else {
            former = session;
        }
        session = null;
        address = to;
        moved = true;
        pace.anew();
        again = null;
        open();
    }

    private void broken(String why, boolean wasSilent) {
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
        session = null;
        again =
                timers.at(
                        timers.nowMicros() + pace.untilNextMicros(wasSilent),
                        () -> {
                            again = null;
                            open();
                        });
    }

    /**
     * @param times that this session has brought news
     */
    private void heard(int times) {
        pace.heard(times);
        heardBeforeMicros = heardMicros;
        heardMicros = timers.nowMicros();
        if (lost) {
            lost = false;
            Events.info(LOG, "watch.back")
                    .addKeyValue("version", version)
                    .log("watch of the provider list is back at version " + version);
        }
    }

    private void fetched(TargetList list) {
        if (!list.whole()) {
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
        taker.accept(list);
    }

    private static TargetList read(String text) {
        return TargetList.of(Json.parse(text).asObject());
    }

    /** One connection of the watch. */
    private final class Session implements Connection.Owner, Lines.Taker {
        private final MessageParser parser = MessageParser.ofStream(this::piece);
        private final ByteArrayOutputStream list = new ByteArrayOutputStream();
        private final Lines lines = new Lines(this);
        private boolean fetching;
        private Connection connection;
        private Timers.Timer silence;
        private int news;
        private long receivedMicros = -1;
        private boolean waitsOn;

        Session(boolean fetching) {
            this.fetching = fetching;
            awaitFor(pace.firstMicros());
        }

        private void awaitFor(long micros) {
            silence = timers.at(timers.nowMicros() + micros, this::silent);
        }

        private void silent() {
            if (receivedMicros == timers.nowMicros() && !waitsOn) {
                waitsOn = true;
                awaitFor(MORE_MICROS);
            } else {
                drop();
                over("silent", news == 0);
            }
        }

        /** A line has come whole: from now on counts the time to the next. */
        private void news() {
            news++;
            waitsOn = false;
            silence.cancel();
            awaitFor(patience.silentMicros());
            if (session == this) {
                heard(news);
            }
        }

        @Override
        public void connected(Connection c) {
            ask(fetching ? "/api/targets" : "/api/targets?watch=1&from=" + version);
        }

        private void ask(String target) {
            connection.write(MessageWriter.request("GET", target).header("Host", host).noBody());
        }

        @Override
        public void received(Connection c, ByteBuffer bytes) throws BadMessage {
            receivedMicros = timers.nowMicros();
            try {
                Message end = parser.parse(bytes);
                if (end != null && fetching && end.status() == 200) {
                    whole(end.keepsAlive());
                } else if (end != null) {
                    end("answered " + end.status());
                }
            } catch (RuntimeException e) {
                // Guards the loop against a list that is not JSON or not in the protocol's form.
                end("not understood: " + e.getMessage());
            }
        }

        /**
         * The whole list has come: the watch follows it on the same connection, if that stays open.
         */
        private void whole(boolean staysOpen) {
            fetched(read(list.toString(StandardCharsets.UTF_8)));
            list.reset();
            fetching = false;
            silence.cancel();
            if (staysOpen) {
                awaitFor(patience.firstMicros());
                ask("/api/targets?watch=1&from=" + version);
            } else {
                drop();
                open();
            }
        }

        private void piece(byte[] bytes) {
            if (!fetching) {
                lines.take(bytes);
                return;
            }
            list.writeBytes(bytes);
            if (list.size() > MOST_LIST) {
                throw new IllegalArgumentException("list too long");
            }
        }

        @Override
        public void empty() {
            news();
        }

        @Override
        public void object(String json) {
            TargetList told = read(json);
            news();
            version = session == this ? told.version() : version;
            taker.accept(told);
        }

        /** Ends the session; the watch is not told. */
        void drop() {
            silence.cancel();
            if (connection != null) {
                connection.close();
            }
        }

        void end(String why) {
            drop();
            over(why, false);
        }

        private void over(String why, boolean wasSilent) {
            if (session == this) {
                broken(why, wasSilent);
            } else if (former == this) {
                former = null; // Discovery has moved, and its former address ends what is open: no
                // alarm.
            }
        }

        @Override
        public void ended(Connection c) {
            Message end = parser.atEnd();
            if (end != null && fetching && end.status() == 200) {
                try {
                    whole(false);
                } catch (RuntimeException e) {
                    end("not understood: " + e.getMessage());
                }
            }
        }

        @Override
        public void bad(Connection c, BadMessage e) {
            end("not HTTP: " + e.getMessage());
        }

        @Override
        public void closed(Connection c) {
            end("closed");
        }
    }
}

package postgrade.discovery;

import com.eclipsesource.json.Json;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.gateway.Timers;
import postgrade.http.BadMessage;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;
import postgrade.http.Reactor;
import postgrade.log.Events;

/**
 * Watches the list of providers. A watch that ends, or is silent for longer than its empty lines allow, is opened
 * again from the last version after a pause. Without any version it starts from 0, which brings the whole list.
 *
 * <p>Discovery may move. Versions of two addresses need not agree, so the new one is asked for its whole list first;
 * until that has come the watch at the former address is still heard, and its end is no alarm.
 */
public final class Watch {

    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);
    /**
     * An empty line is due every 2 s; discovery that is down keeps silent. Guards the drain rule: what a dead watch
     * keeps from us counts as told after 6 s, and it must be found out and opened again well before.
     */
    public static final long SILENT_MICROS = 3_000_000;
    /** A whole list comes at once. Guards the drain rule: after a move all counts as told within 4 s. */
    private static final long FETCH_MICROS = 1_000_000;
    private static final long PAUSE_MICROS = 200_000;
    private static final long MOST_PAUSE_MICROS = 1_000_000;
    /** Guards the memory against a line or a list that never ends. */
    private static final int MOST_LINE = 4 << 20;

    private final String host;
    private final Reactor reactor;
    private final Timers timers;
    private final Consumer<TargetList> taker;
    private final long silentMicros;
    private InetSocketAddress address;
    private long version;
    private long pauseMicros = PAUSE_MICROS;
    private Session session;
    /** The watch at the address before the last move, until the new one has told its list. */
    private Session former;
    /** The whole list of this address is still to be had. */
    private boolean moved;
    private boolean lost;
    private Timers.Timer again;

    /**
     * @param version of the list known already, 0 for none
     * @param silentMicros a watch that brings nothing for so long is lost
     */
    public Watch(InetSocketAddress address, String host, long version, long silentMicros, Reactor reactor,
            Timers timers, Consumer<TargetList> taker) {
        this.address = address;
        this.host = host;
        this.version = version;
        this.silentMicros = silentMicros;
        this.reactor = reactor;
        this.timers = timers;
        this.taker = taker;
    }

    public void open() {
        session = new Session(moved);
        session.connection = Connection.open(reactor, address, session, true);
        if (session.connection == null) {
            session.end("no connection");
        }
    }

    /** The version of the list that is in force. */
    public long version() {
        return version;
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
        Events.info(LOG, "watch.moving").addKeyValue("from", address).addKeyValue("to", to)
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
        pauseMicros = PAUSE_MICROS;
        again = null;
        open();
    }

    private void broken(String why) {
        if (!lost) {
            lost = true;
            Events.warn(LOG, "watch.lost").addKeyValue("why", why).addKeyValue("version", version)
                    .log("watch of the provider list lost (" + why + "); kept at version " + version
                            + " and opened again");
        }
        session = null;
        again = timers.at(timers.nowMicros() + pauseMicros, () -> {
            again = null;
            open();
        });
        pauseMicros = Math.min(MOST_PAUSE_MICROS, pauseMicros * 2);
    }

    private void heard() {
        pauseMicros = PAUSE_MICROS;
        if (lost) {
            lost = false;
            Events.info(LOG, "watch.back").addKeyValue("version", version)
                    .log("watch of the provider list is back at version " + version);
        }
    }

    private void fetched(TargetList list) {
        if (!list.whole()) {
            throw new IllegalArgumentException("not a whole list");
        }
        heard();
        moved = false;
        version = list.version();
        Events.info(LOG, "watch.moved").addKeyValue("to", address).addKeyValue("version", version)
                .log("watch of the provider list has moved to " + address + " at version " + version);
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
    private final class Session implements Connection.Owner {
        private final MessageParser parser = MessageParser.ofStream(this::piece);
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private boolean fetching;
        private Connection connection;
        private Timers.Timer silence;

        Session(boolean fetching) {
            this.fetching = fetching;
            awaitUntil(fetching ? Math.min(FETCH_MICROS, silentMicros) : silentMicros);
        }

        private void awaitUntil(long micros) {
            silence = timers.at(timers.nowMicros() + micros, () -> end("silent"));
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
            if (!fetching) {
                silence.cancel();
                awaitUntil(silentMicros);
            }
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

        /** The whole list has come: the watch follows it on the same connection, if that stays open. */
        private void whole(boolean staysOpen) {
            fetched(read(line.toString(StandardCharsets.UTF_8)));
            line.reset();
            fetching = false;
            silence.cancel();
            if (staysOpen) {
                awaitUntil(silentMicros);
                ask("/api/targets?watch=1&from=" + version);
            } else {
                drop();
                open();
            }
        }

        private void piece(byte[] bytes) {
            for (byte b : bytes) {
                if (b == '\n' && !fetching) {
                    String text = line.toString(StandardCharsets.UTF_8);
                    line.reset();
                    line(text);
                } else {
                    line.write(b);
                }
            }
            if (line.size() > MOST_LINE) {
                throw new IllegalArgumentException("line too long");
            }
        }

        private void line(String text) {
            if (session == this) {
                heard();
            }
            if (!text.isBlank()) {
                TargetList list = read(text);
                version = session == this ? list.version() : version;
                taker.accept(list);
            }
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
            if (session == this) {
                broken(why);
            } else if (former == this) {
                former = null; // Discovery has moved, and its former address ends what is open: no alarm.
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

package postgrade.discovery;

import com.eclipsesource.json.Json;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.logging.Logger;
import postgrade.gateway.Timers;
import postgrade.http.BadMessage;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;
import postgrade.http.Reactor;

/**
 * Watches the list of providers. A watch that ends, or is silent for longer than its empty lines allow, is opened
 * again from the last version after a pause. Without any version it starts from 0, which brings the whole list.
 */
public final class Watch {

    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    /**
     * An empty line is due every 2 s; discovery that is down keeps silent. Guards the drain rule: what a dead watch
     * keeps from us counts as told after 6 s, and it must be found out and opened again well before.
     */
    public static final long SILENT_MICROS = 3_000_000;
    private static final long PAUSE_MICROS = 200_000;
    private static final long MOST_PAUSE_MICROS = 1_000_000;
    /** Guards the memory against a line that never ends. */
    private static final int MOST_LINE = 4 << 20;

    private final InetSocketAddress address;
    private final String host;
    private final Reactor reactor;
    private final Timers timers;
    private final Consumer<TargetList> taker;
    private final long silentMicros;
    private long version;
    private long pauseMicros = PAUSE_MICROS;
    private Session session;
    private boolean lost;

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
        session = new Session();
        session.connection = Connection.open(reactor, address, session, true);
        if (session.connection == null) {
            broken("no connection");
        }
    }

    private void broken(String why) {
        if (!lost) {
            lost = true;
            LOG.warning("watch of the provider list lost (" + why + "); kept at version " + version
                    + " and opened again");
        }
        session = null;
        timers.at(timers.nowMicros() + pauseMicros, this::open);
        pauseMicros = Math.min(MOST_PAUSE_MICROS, pauseMicros * 2);
    }

    private void line(String text) {
        pauseMicros = PAUSE_MICROS;
        if (lost) {
            lost = false;
            LOG.info("watch of the provider list is back at version " + version);
        }
        if (!text.isBlank()) {
            TargetList list = TargetList.of(Json.parse(text).asObject());
            version = list.version();
            taker.accept(list);
        }
    }

    /** One connection of the watch. */
    private final class Session implements Connection.Owner {
        private final MessageParser parser = MessageParser.ofStream(this::piece);
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Connection connection;
        private Timers.Timer silence = timers.at(timers.nowMicros() + silentMicros, this::silent);

        @Override
        public void connected(Connection c) {
            c.write(MessageWriter.request("GET", "/api/targets?watch=1&from=" + version).header("Host", host)
                    .noBody());
        }

        @Override
        public void received(Connection c, ByteBuffer bytes) throws BadMessage {
            silence.cancel();
            silence = timers.at(timers.nowMicros() + silentMicros, this::silent);
            try {
                Message end = parser.parse(bytes);
                if (end != null) {
                    end("answered " + end.status());
                }
            } catch (RuntimeException e) {
                // Guards the loop against a list that is not JSON or not in the protocol's form.
                end("not understood: " + e.getMessage());
            }
        }

        private void piece(byte[] bytes) {
            for (byte b : bytes) {
                if (b == '\n') {
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
            Watch.this.line(text);
        }

        private void silent() {
            end("silent");
        }

        private void end(String why) {
            silence.cancel();
            if (connection != null) {
                connection.close();
            }
            if (session == this) {
                broken(why);
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

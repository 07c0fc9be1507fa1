package postgrade.upgrade;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.http.Reactor;
import postgrade.log.Events;

/** Another process of this dispatcher, at the other end of its link. */
final class Peer implements Reactor.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(Peer.class);

    private final UpgradeCoordinator up;
    final SocketChannel channel;

    /** Where it listens, if it was this process that made the link; else null. */
    final Path file;

    private final Lines lines = new Lines();
    final List<Long> outstanding = new ArrayList<>();
    private SelectionKey key;
    String id;
    JsonObject state;
    boolean serving;
    boolean stopping;
    boolean open = true;

    Peer(UpgradeCoordinator up, SocketChannel channel, Path file) {
        this.up = up;
        this.channel = channel;
        this.file = file;
    }

    void begin() {
        try {
            key = up.reactor.register(channel, SelectionKey.OP_READ, this);
            interest();
        } catch (IOException e) {
            lost(e);
        }
    }

    void send(JsonObject message) {
        lines.add(message.toString());
        try {
            flush();
        } catch (IOException e) {
            // The read side tells of the break: nothing of the owner's runs inside its own call.
        }
    }

    private void flush() throws IOException {
        if (open) {
            lines.writeTo(channel);
            interest();
        }
    }

    private void interest() {
        if (key != null && key.isValid()) {
            key.interestOps(
                    SelectionKey.OP_READ | (lines.allWritten() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    @Override
    public Order order() {
        return Order.FIRST;
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        if (ready.isWritable()) {
            flush();
        }
        if (open && ready.isReadable()) {
            try {
                read();
            } catch (RuntimeException e) {
                lost(e); // Guards the process against a peer that sends what cannot be understood.
            }
        }
    }

    void read() throws IOException {
        ByteBuffer in = up.reactor.readBuffer();
        in.clear();
        int count = channel.read(in);
        if (count < 0) {
            lost(null);
            return;
        }
        in.flip();
        for (String line : lines.read(in)) {
            if (open) {
                take(Json.parse(line).asObject());
            }
        }
    }

    private void take(JsonObject m) {
        if (m.get("hello") != null) {
            if (m.getInt("hello", 0) != UpgradeCoordinator.FORM
                    || !up.dispatcher.equals(m.getString("dispatcher", ""))) {
                throw new IllegalArgumentException("another dispatcher's, or of another form");
            }
            come(m.get("id").asString());
            if (open) {
                send(
                        Json.object()
                                .add("state", up.owner.snapshot())
                                .add("id", up.id)
                                .add("serving", up.serving)
                                .add("stopping", up.stopping));
                up.owner.peersChanged();
            }
        } else if (m.get("state") != null) {
            state = m.get("state").asObject();
            serving = m.getBoolean("serving", false);
            stopping = m.getBoolean("stopping", false);
            come(m.get("id").asString());
            if (key != null) {
                up.owner.peersChanged(); // Late: the process has begun without it.
            }
        } else if (id == null) {
            throw new IllegalArgumentException("no hello");
        } else if (m.get("ask") != null) {
            if (m.get("event") != null) {
                up.owner.callBack(m.get("event").asString().getBytes(StandardCharsets.UTF_8));
            } else {
                up.owner.called(m.get("call").asString(), m.getString("worker", ""));
            }
            send(Json.object().add("told", m.get("ask")));
        } else if (m.get("told") != null) {
            up.asks.answered(this, m.get("told").asLong(), true);
        } else {
            serving |= m.getBoolean("serving", false);
            stopping |= m.getBoolean("stopping", false);
            up.owner.peersChanged();
        }
    }

    /**
     * Its name is known. Of two links with one process, the one that the later of the two made
     * stays.
     */
    private void come(String name) {
        id = name;
        boolean known = false;
        for (Peer other : new ArrayList<>(up.peers)) {
            if (other != this && name.equals(other.id)) {
                boolean laterIsUs = up.id.compareTo(name) > 0;
                (file != null == laterIsUs ? other : this).drop();
            }
            known |= other == this;
        }
        if (open && !known) {
            up.peers.add(this);
        }
        if (open) {
            Events.info(LOG, "upgrade.linked")
                    .addKeyValue("peer", id)
                    .log("linked with process " + id + " of this dispatcher");
        }
    }

    private void drop() {
        open = false;
        up.peers.remove(this);
        try {
            channel.close();
        } catch (IOException e) {
            LOG.debug("a link could not be closed", e);
        }
        for (Long number : new ArrayList<>(outstanding)) {
            up.asks.answered(this, number, false);
        }
    }

    /**
     * @param why null if it has ended the link itself, as it does when its process ends
     */
    void lost(Exception why) {
        if (!open) {
            return;
        }
        drop();
        if (id != null && key != null) {
            Events.info(LOG, "upgrade.unlinked")
                    .addKeyValue("peer", id)
                    .log(
                            "process "
                                    + id
                                    + " of this dispatcher is gone"
                                    + (why == null ? "" : " (" + why + ")"));
            up.owner.peersChanged();
        }
    }

    @Override
    public void failed(Exception e) {
        lost(e);
    }
}

package postgrade.discovery;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/** One object of discovery: the whole list, or the entries that changed since the one before it. */
public record TargetList(long version, boolean whole, List<Entry> entries, List<String> faulty) {

    private static final Logger LOG = LoggerFactory.getLogger(TargetList.class);

    /** How far a provider is in its life. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /**
     * @param startedMillis its latest start in Unix time, 0 for long ago
     */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            State state,
            double weight,
            long startedMillis) {}

    /**
     * Reads the protocol's form; entries that cannot be read are passed over. An exception names
     * what is wrong.
     */
    public static TargetList of(JsonObject json) {
        List<Entry> entries = new ArrayList<>();
        List<String> faulty = new ArrayList<>();
        JsonValue servers = json.get("servers");
        if (servers != null) {
            for (JsonValue v : servers.asArray()) {
                try {
                    entries.add(entry(v.asObject()));
                } catch (RuntimeException e) {
                    // Guards the rest of the list: one entry that cannot be read must not hide the
                    // others.
                    faulty.add(e.getMessage() + " in " + v);
                }
            }
        }
        JsonValue version = json.get("version");
        if (version == null || !version.isNumber()) {
            throw new IllegalArgumentException("version is missing");
        }
        return new TargetList(version.asLong(), json.getBoolean("full", false), entries, faulty);
    }

    private static Entry entry(JsonObject e) {
        String id = e.getString("id", "");
        String address = e.getString("addr", "");
        State state =
                switch (e.getString("state", "")) {
                    case "ready" -> State.READY;
                    case "gone" -> State.GONE;
                    default -> State.DRAINING; // So is any state that we do not know: nothing new
                        // for it.
                };
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id is missing");
        }
        return new Entry(
                id,
                state == State.GONE && address.isEmpty() ? null : address(address),
                e.getString("zone", ""),
                e.getString("kind", ""),
                (int) e.getDouble("cell", 0),
                state,
                e.getDouble("weight", 1),
                (long) e.getDouble("started_ms", 0));
    }

    public void warnOfFaulty() {
        if (!faulty.isEmpty()) {
            Events.warn(LOG, "list.entries-not-understood")
                    .addKeyValue("version", version)
                    .addKeyValue("entries", faulty.size())
                    .addKeyValue("first", faulty.get(0))
                    .log(
                            "list version "
                                    + version
                                    + ": "
                                    + faulty.size()
                                    + " entries not understood and passed over, first: "
                                    + faulty.get(0));
        }
    }

    /** Writes {@code address:port}, as {@link #address} reads it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Reads {@code address:port}. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not address:port", e);
        }
    }
}

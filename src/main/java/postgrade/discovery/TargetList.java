package postgrade.discovery;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** One object of discovery: the whole list, or the entries that changed since the one before it. */
public record TargetList(long version, boolean whole, List<Entry> entries) {

    /** How far a provider is in its life. */
    public enum State { READY, DRAINING, GONE }

    /** @param startedMillis its latest start in Unix time, 0 for long ago */
    public record Entry(String id, InetSocketAddress address, String zone, String kind, int cell, State state,
            double weight, long startedMillis) { }

    /** Reads the form of the protocol. An exception names what is wrong. */
    public static TargetList of(JsonObject json) {
        List<Entry> entries = new ArrayList<>();
        JsonValue servers = json.get("servers");
        if (servers != null) {
            for (JsonValue v : servers.asArray()) {
                entries.add(entry(v.asObject()));
            }
        }
        JsonValue version = json.get("version");
        if (version == null || !version.isNumber()) {
            throw new IllegalArgumentException("version is missing");
        }
        return new TargetList(version.asLong(), json.getBoolean("full", false), entries);
    }

    private static Entry entry(JsonObject e) {
        String id = e.getString("id", "");
        String address = e.getString("addr", "");
        State state = switch (e.getString("state", "")) {
            case "ready" -> State.READY;
            case "draining" -> State.DRAINING;
            case "gone" -> State.GONE;
            default -> throw new IllegalArgumentException("state of " + id + " is not known");
        };
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id is missing");
        }
        return new Entry(id, state == State.GONE && address.isEmpty() ? null : address(address),
                e.getString("zone", ""), e.getString("kind", ""), (int) e.getDouble("cell", 0), state,
                e.getDouble("weight", 1), (long) e.getDouble("started_ms", 0));
    }

    /** Reads {@code address:port}. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not address:port", e);
        }
    }
}

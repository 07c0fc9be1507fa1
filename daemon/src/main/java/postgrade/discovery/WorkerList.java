package postgrade.discovery;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * One object of discovery: the complete list, or the workers that have changed since the one before
 * it.
 *
 * @param version of the list
 * @param complete whether workers that it does not name are gone
 * @param workers those that could be read
 * @param unreadable what was wrong with the others, a sentence each
 */
public record WorkerList(
        long version, boolean complete, List<ListedWorker> workers, List<String> unreadable) {

    private static final Logger LOG = LoggerFactory.getLogger(WorkerList.class);

    /** Where a worker stands in its life. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A worker as discovery lists it.
     *
     * @param address null where a worker is gone and has none
     * @param weight its relative size
     * @param startedMillis its latest start in Unix time, 0 for long ago
     */
    public record ListedWorker(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            State state,
            double weight,
            long startedMillis) {}

    /**
     * Reads the protocol's form. One worker that cannot be read does not hide the others.
     *
     * @throws IllegalArgumentException that names what is wrong with the list itself
     */
    public static WorkerList of(JsonObject json) {
        List<ListedWorker> workers = new ArrayList<>();
        List<String> unreadable = new ArrayList<>();
        JsonValue servers = json.get("servers");
        if (servers != null) {
            for (JsonValue server : servers.asArray()) {
                try {
                    workers.add(parseWorker(server.asObject()));
                } catch (RuntimeException thrown) {
                    unreadable.add(thrown.getMessage() + " in " + server);
                }
            }
        }
        JsonValue version = json.get("version");
        if (version == null || !version.isNumber()) {
            throw new IllegalArgumentException("version is missing");
        }
        return new WorkerList(
                version.asLong(), json.getBoolean("full", false), workers, unreadable);
    }

    private static ListedWorker parseWorker(JsonObject json) {
        String id = json.getString("id", "");
        String address = json.getString("addr", "");
        State state =
                switch (json.getString("state", "")) {
                    case "ready" -> State.READY;
                    case "gone" -> State.GONE;
                    // So is any state that is not known: nothing new goes there.
                    default -> State.DRAINING;
                };
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id is missing");
        }
        return new ListedWorker(
                id,
                state == State.GONE && address.isEmpty() ? null : AddressFormat.parse(address),
                json.getString("zone", ""),
                json.getString("kind", ""),
                (int) json.getDouble("cell", 0),
                state,
                json.getDouble("weight", 1),
                (long) json.getDouble("started_ms", 0));
    }

    /** Logs that some workers could not be read, with the first of them. */
    public void logUnreadable() {
        if (!unreadable.isEmpty()) {
            Events.warn(LOG, "list.entries-not-understood")
                    .addKeyValue("version", version)
                    .addKeyValue("entries", unreadable.size())
                    .addKeyValue("first", unreadable.get(0))
                    .log(
                            "list version "
                                    + version
                                    + ": "
                                    + unreadable.size()
                                    + " entries not understood and passed over, first: "
                                    + unreadable.get(0));
        }
    }
}

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
 * One object from discovery: the complete list, or the workers that have changed since the previous
 * object.
 *
 * @param version the version of the list
 * @param complete whether workers that are not in it are gone
 * @param workers the workers that could be parsed
 * @param unreadable why the other workers could not be parsed, one sentence each
 */
public record WorkerList(
        long version, boolean complete, List<ListedWorker> workers, List<String> unreadable) {

    private static final Logger LOG = LoggerFactory.getLogger(WorkerList.class);

    /** The state of a listed worker. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A worker as discovery lists it.
     *
     * @param address its address, null for a worker that is gone and has none
     * @param weight its relative size
     * @param startedMillis its latest start in Unix time, 0 if long ago
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
     * Parses a list of the protocol. A worker that cannot be parsed does not affect the others.
     *
     * @throws IllegalArgumentException that names the fault in the list itself
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
                    // An unknown state counts as draining, so that the worker gets no new work.
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

    /** Logs how many workers could not be parsed, with the first of them. */
    public void logUnreadable() {
        if (!unreadable.isEmpty()) {
            Events.warn(LOG, "list.entries-not-understood")
                    .addKeyValue("version", version)
                    .addKeyValue("entries", unreadable.size())
                    .addKeyValue("first", unreadable.get(0))
                    .log(
                            "worker list version "
                                    + version
                                    + ": "
                                    + unreadable.size()
                                    + " invalid entries skipped, first: "
                                    + unreadable.get(0));
        }
    }
}

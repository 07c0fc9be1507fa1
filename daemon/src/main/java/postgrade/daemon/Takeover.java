package postgrade.daemon;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Locale;
import postgrade.discovery.TargetList;
import postgrade.discovery.TargetList.Entry;
import postgrade.roster.Roster;

/**
 * What a new process of this dispatcher is told by the one that serves. Times go as ages, since the two processes' clocks
 * begin at different moments.
 *
 * @param list the workers as discovery last told them, or null
 * @param standbyAgeMicros since when it drains, negative if it does not
 */
record Takeover(JsonObject json, TargetList list, long standbyAgeMicros) {

    /** Reads a snapshot; one that cannot be made sense of, or none, is null: the start goes on without. */
    static Takeover of(JsonObject json) {
        if (json == null) {
            return null;
        }
        try {
            TargetList list = TargetList.of(json.get("list").asObject());
            return new Takeover(json, list.entries().isEmpty() ? null : list, json.getLong("standby", -1));
        } catch (RuntimeException e) {
            return null;
        }
    }

    static JsonObject snapshot(Roster roster, long nowNs, long version, Collection<Entry> told,
            InetSocketAddress discovery, long standbyAgeMicros) {
        JsonArray servers = Json.array();
        for (Entry e : told) {
            servers.add(Json.object().add("id", e.id()).add("addr", text(e.address())).add("zone", e.zone())
                    .add("kind", e.kind()).add("cell", e.cell()).add("state", e.state().name().toLowerCase(Locale.ROOT))
                    .add("weight", e.weight()).add("started_ms", e.startedMillis()));
        }
        JsonArray ages = Json.array();
        for (Roster.Record r : roster.records()) {
            ages.add(Json.object().add("id", r.id()).add("out", nowNs - r.outNs())
                    .add("back", r.backNs() == Roster.STILL_OUT ? -1 : nowNs - r.backNs()));
        }
        return Json.object().add("list", Json.object().add("version", version).add("full", true)
                .add("servers", servers)).add("discovery", text(discovery)).add("roster", ages)
                .add("standby", standbyAgeMicros);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Versions of two addresses need not agree. */
    boolean follows(InetSocketAddress discovery) {
        return text(discovery).equals(json.getString("discovery", ""));
    }

    /** Tells the roster what operators have said. */
    void roster(Roster roster, long nowNs) {
        JsonValue records = json.get("roster");
        for (JsonValue v : records == null ? Json.array() : records.asArray()) {
            JsonObject r = v.asObject();
            roster.takeOut(nowNs - r.getLong("out", 0), r.get("id").asString());
            if (r.getLong("back", -1) >= 0) {
                roster.putBack(nowNs - r.getLong("back", 0), r.get("id").asString());
            }
        }
    }
}

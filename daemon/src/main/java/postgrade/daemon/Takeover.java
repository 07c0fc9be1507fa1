package postgrade.daemon;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.discovery.AddressFormat;
import postgrade.discovery.WorkerList;
import postgrade.discovery.WorkerList.ListedWorker;
import postgrade.endpoints.EndpointRegistry;
import postgrade.log.Events;
import postgrade.policy.api.PolicyStateEntry;

/**
 * What a new process of this dispatcher is told by the one that serves. Times go as ages, since the
 * two processes' clocks begin at different moments.
 *
 * @param list the workers as discovery last told them, or null
 * @param discovery who told them; versions of two addresses need not agree
 * @param said what operators have said, its times as ages
 * @param learnt what the decision module there has learnt
 * @param standbyAgeMicros since when it drains, negative if it does not
 * @param beside what its companion told, empty where there was none
 */
record Takeover(
        WorkerList list,
        String discovery,
        List<EndpointRegistry.WorkerOverride> said,
        List<PolicyStateEntry> learnt,
        long standbyAgeMicros,
        String beside) {

    private static final Logger LOG = LoggerFactory.getLogger(Takeover.class);
    private static final String AT_MACHINE_NS = "atMachineNs";

    /**
     * Reads a snapshot; one that cannot be made sense of, or none, is null: the start goes on
     * without.
     */
    static Takeover of(JsonObject json) {
        if (json == null) {
            return null;
        }
        try {
            WorkerList list = WorkerList.of(json.get("list").asObject());
            return new Takeover(
                    list.workers().isEmpty() ? null : list,
                    json.get("discovery").asString(),
                    said(json.get("roster").asArray()),
                    learnt(json.get("learnt").asArray()),
                    json.get("standby").asLong(),
                    json.getString("beside", ""));
        } catch (RuntimeException e) {
            Events.warn(LOG, "upgrade.state-not-understood")
                    .setCause(e)
                    .log("what the running process told was not understood; started without it");
            return null;
        }
    }

    private static List<PolicyStateEntry> learnt(JsonArray figures) {
        List<PolicyStateEntry> all = new ArrayList<>();
        for (JsonValue v : figures) {
            JsonArray one = v.asArray();
            double[] values = new double[one.size() - 2];
            for (int i = 0; i < values.length; i++) {
                values[i] = one.get(i + 2).asDouble();
            }
            all.add(new PolicyStateEntry(one.get(0).asString(), one.get(1).asString(), values));
        }
        return all;
    }

    /** What operators have said, alone: of a process that died before it could tell the rest. */
    static Takeover left(JsonObject json, long nowMillis, long machineNanos) {
        if (json == null) {
            return null;
        }
        try {
            long passedNs = passedNs(json, nowMillis, machineNanos);
            List<EndpointRegistry.WorkerOverride> said = new ArrayList<>();
            for (EndpointRegistry.WorkerOverride r : said(json.get("roster").asArray())) {
                said.add(
                        new EndpointRegistry.WorkerOverride(
                                r.id(),
                                r.disabledNs() + passedNs,
                                r.enabledNs() < 0 ? -1 : r.enabledNs() + passedNs));
            }
            return new Takeover(null, "", said, List.of(), -1, "");
        } catch (RuntimeException e) {
            Events.warn(LOG, "upgrade.left-not-understood")
                    .setCause(e)
                    .log("what a process left was not understood; started without it");
            return null;
        }
    }

    /**
     * By the time since the machine started, which no step of the wall clock changes; an earlier
     * version tells that alone.
     */
    private static long passedNs(JsonObject json, long nowMillis, long machineNanos) {
        JsonValue at = json.get(AT_MACHINE_NS);
        long passedNs =
                at != null
                        ? machineNanos - at.asLong()
                        : (nowMillis - json.get("atMs").asLong()) * 1_000_000;
        return Math.max(0, passedNs);
    }

    static JsonObject leave(
            EndpointRegistry roster, long nowNs, long nowMillis, long machineNanos) {
        return Json.object()
                .add("atMs", nowMillis)
                .add(AT_MACHINE_NS, machineNanos)
                .add("roster", ages(roster, nowNs));
    }

    private static JsonArray ages(EndpointRegistry roster, long nowNs) {
        JsonArray ages = Json.array();
        for (EndpointRegistry.WorkerOverride r : roster.overrides()) {
            ages.add(
                    Json.object()
                            .add("id", r.id())
                            .add("out", nowNs - r.disabledNs())
                            .add(
                                    "back",
                                    r.enabledNs() == EndpointRegistry.STILL_DISABLED
                                            ? -1
                                            : nowNs - r.enabledNs()));
        }
        return ages;
    }

    private static List<EndpointRegistry.WorkerOverride> said(JsonArray ages) {
        List<EndpointRegistry.WorkerOverride> said = new ArrayList<>();
        for (JsonValue v : ages) {
            JsonObject r = v.asObject();
            said.add(
                    new EndpointRegistry.WorkerOverride(
                            r.get("id").asString(), r.get("out").asLong(), r.get("back").asLong()));
        }
        return said;
    }

    static JsonObject snapshot(
            EndpointRegistry roster,
            long nowNs,
            long version,
            Collection<ListedWorker> told,
            InetSocketAddress discovery,
            long standbyAgeMicros,
            List<PolicyStateEntry> learnt,
            String beside) {
        JsonArray servers = Json.array();
        for (ListedWorker e : told) {
            servers.add(
                    Json.object()
                            .add("id", e.id())
                            .add("addr", AddressFormat.format(e.address()))
                            .add("zone", e.zone())
                            .add("kind", e.kind())
                            .add("cell", e.cell())
                            .add("state", e.state().name().toLowerCase(Locale.ROOT))
                            .add("weight", e.weight())
                            .add("started_ms", e.startedMillis()));
        }
        JsonArray figures = Json.array();
        for (PolicyStateEntry l : learnt) {
            JsonArray one = Json.array().add(l.category()).add(l.name());
            for (double d : l.values()) {
                one.add(Double.isFinite(d) ? d : 0);
            }
            figures.add(one);
        }
        return Json.object()
                .add(
                        "list",
                        Json.object()
                                .add("version", version)
                                .add("full", true)
                                .add("servers", servers))
                .add("discovery", AddressFormat.format(discovery))
                .add("roster", ages(roster, nowNs))
                .add("standby", standbyAgeMicros)
                .add("learnt", figures)
                .add("beside", beside);
    }

    boolean follows(InetSocketAddress address) {
        return AddressFormat.format(address).equals(discovery);
    }

    /** Tells the roster what operators have said. */
    void tell(EndpointRegistry roster, long nowNs) {
        for (EndpointRegistry.WorkerOverride r : said) {
            roster.disable(nowNs - r.disabledNs(), r.id());
            if (r.enabledNs() >= 0) {
                roster.enable(nowNs - r.enabledNs(), r.id());
            }
        }
    }
}

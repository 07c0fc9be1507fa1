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
 * State that a new process of this dispatcher receives from the running one. Times are sent as
 * ages, since the monotonic clocks of the two processes have different origins.
 *
 * @param workerList the last worker list from discovery, or null
 * @param discoveryAddress the discovery service that sent it; versions of two services are not
 *     comparable
 * @param overrides the workers that operators have disabled or enabled again, with times as ages
 * @param learntFigures what the policy of the running process has learnt
 * @param standbyAgeMicros time since it entered standby, negative if it is not in standby
 * @param extensionState state of its extension, empty if there is none
 */
record HandoverState(
        WorkerList workerList,
        String discoveryAddress,
        List<EndpointRegistry.WorkerOverride> overrides,
        List<PolicyStateEntry> learntFigures,
        long standbyAgeMicros,
        String extensionState) {

    private static final Logger LOG = LoggerFactory.getLogger(HandoverState.class);
    private static final String AT_MACHINE_NS = "atMachineNs";

    /**
     * Parses a snapshot. Returns null if there is none or it cannot be parsed; the start continues
     * without it.
     */
    static HandoverState fromSnapshot(JsonObject json) {
        if (json == null) {
            return null;
        }
        try {
            WorkerList workerList = WorkerList.of(json.get("list").asObject());
            return new HandoverState(
                    workerList.workers().isEmpty() ? null : workerList,
                    json.get("discovery").asString(),
                    parseOverrides(json.get("roster").asArray()),
                    parseFigures(json.get("learnt").asArray()),
                    json.get("standby").asLong(),
                    json.getString("beside", ""));
        } catch (RuntimeException e) {
            Events.warn(LOG, "upgrade.state-not-understood")
                    .setCause(e)
                    .log("the state of the running process could not be read; starting without it");
            return null;
        }
    }

    private static List<PolicyStateEntry> parseFigures(JsonArray figures) {
        List<PolicyStateEntry> parsed = new ArrayList<>();
        for (JsonValue element : figures) {
            JsonArray row = element.asArray();
            double[] values = new double[row.size() - 2];
            for (int i = 0; i < values.length; i++) {
                values[i] = row.get(i + 2).asDouble();
            }
            parsed.add(new PolicyStateEntry(row.get(0).asString(), row.get(1).asString(), values));
        }
        return parsed;
    }

    /**
     * Parses the operators' overrides, which is all that is known of a process that died before it
     * sent its snapshot.
     */
    static HandoverState fromHandoverFile(JsonObject json, long nowMillis, long machineNanos) {
        if (json == null) {
            return null;
        }
        try {
            long elapsedNs = elapsedNs(json, nowMillis, machineNanos);
            List<EndpointRegistry.WorkerOverride> overrides = new ArrayList<>();
            for (EndpointRegistry.WorkerOverride override :
                    parseOverrides(json.get("roster").asArray())) {
                overrides.add(
                        new EndpointRegistry.WorkerOverride(
                                override.id(),
                                override.disabledNs() + elapsedNs,
                                override.enabledNs() < 0 ? -1 : override.enabledNs() + elapsedNs));
            }
            return new HandoverState(null, "", overrides, List.of(), -1, "");
        } catch (RuntimeException e) {
            Events.warn(LOG, "upgrade.left-not-understood")
                    .setCause(e)
                    .log("the hand-over file could not be read; starting without it");
            return null;
        }
    }

    /**
     * Returns the time since the file was written, by the time since the machine's boot, which
     * steps of the wall clock do not affect. An earlier version wrote the wall clock alone.
     */
    private static long elapsedNs(JsonObject json, long nowMillis, long machineNanos) {
        JsonValue writtenAt = json.get(AT_MACHINE_NS);
        long elapsedNs =
                writtenAt != null
                        ? machineNanos - writtenAt.asLong()
                        : (nowMillis - json.get("atMs").asLong()) * 1_000_000;
        return Math.max(0, elapsedNs);
    }

    static JsonObject handoverFileContent(
            EndpointRegistry registry, long nowNs, long nowMillis, long machineNanos) {
        return Json.object()
                .add("atMs", nowMillis)
                .add(AT_MACHINE_NS, machineNanos)
                .add("roster", overrideAges(registry, nowNs));
    }

    private static JsonArray overrideAges(EndpointRegistry registry, long nowNs) {
        JsonArray ages = Json.array();
        for (EndpointRegistry.WorkerOverride override : registry.overrides()) {
            ages.add(
                    Json.object()
                            .add("id", override.id())
                            .add("out", nowNs - override.disabledNs())
                            .add(
                                    "back",
                                    override.enabledNs() == EndpointRegistry.STILL_DISABLED
                                            ? -1
                                            : nowNs - override.enabledNs()));
        }
        return ages;
    }

    private static List<EndpointRegistry.WorkerOverride> parseOverrides(JsonArray ages) {
        List<EndpointRegistry.WorkerOverride> overrides = new ArrayList<>();
        for (JsonValue element : ages) {
            JsonObject override = element.asObject();
            overrides.add(
                    new EndpointRegistry.WorkerOverride(
                            override.get("id").asString(),
                            override.get("out").asLong(),
                            override.get("back").asLong()));
        }
        return overrides;
    }

    static JsonObject snapshot(
            EndpointRegistry registry,
            long nowNs,
            long version,
            Collection<ListedWorker> listedWorkers,
            InetSocketAddress discoveryAddress,
            long standbyAgeMicros,
            List<PolicyStateEntry> learntFigures,
            String extensionState) {
        JsonArray servers = Json.array();
        for (ListedWorker worker : listedWorkers) {
            servers.add(
                    Json.object()
                            .add("id", worker.id())
                            .add("addr", AddressFormat.format(worker.address()))
                            .add("zone", worker.zone())
                            .add("kind", worker.kind())
                            .add("cell", worker.cell())
                            .add("state", worker.state().name().toLowerCase(Locale.ROOT))
                            .add("weight", worker.weight())
                            .add("started_ms", worker.startedMillis()));
        }
        JsonArray figures = Json.array();
        for (PolicyStateEntry figure : learntFigures) {
            JsonArray row = Json.array().add(figure.category()).add(figure.name());
            for (double value : figure.values()) {
                row.add(Double.isFinite(value) ? value : 0);
            }
            figures.add(row);
        }
        return Json.object()
                .add(
                        "list",
                        Json.object()
                                .add("version", version)
                                .add("full", true)
                                .add("servers", servers))
                .add("discovery", AddressFormat.format(discoveryAddress))
                .add("roster", overrideAges(registry, nowNs))
                .add("standby", standbyAgeMicros)
                .add("learnt", figures)
                .add("beside", extensionState);
    }

    boolean isFromDiscovery(InetSocketAddress address) {
        return AddressFormat.format(address).equals(discoveryAddress);
    }

    /** Applies the operators' overrides to the registry. */
    void applyOverrides(EndpointRegistry registry, long nowNs) {
        for (EndpointRegistry.WorkerOverride override : overrides) {
            registry.disable(nowNs - override.disabledNs(), override.id());
            if (override.enabledNs() >= 0) {
                registry.enable(nowNs - override.enabledNs(), override.id());
            }
        }
    }
}

package postgrade.rig.serve;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.fleet.net.Fleet;
import postgrade.fleet.net.HeldPort;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.cluster.Cluster;
import postgrade.rig.disk.DiskFaults;
import postgrade.rig.history.History;
import postgrade.rig.jobs.JobProxies;
import postgrade.rig.process.JavaProcess;

/**
 * Real dispatchers, {@code postgrade serve} each, before one stand-in fleet. They are named n1, n2
 * and so on.
 */
public final class DispatcherCluster implements Closeable {

    private static final int STEP_MS = 10;

    /** Writes the script by which a dispatcher shares; null where it does not. */
    public interface ScriptFactory {
        String create(String name, Cluster cluster, List<String> voters);
    }

    /** What is to be started. */
    public static final class Options {
        public int dispatchers = 3;

        /** The first so many vote. */
        public int voters = 3;

        public FleetPlan plan;
        public ScriptFactory sharing;
        public Map<String, String> environment = new HashMap<>();
        public int fleetThreads = 2;

        /** Descriptors that a dispatcher may hold; 0 for the fleet's own figure. */
        public int sockets;

        /** How many dispatchers the settings tell of; 0 for as many as there are. */
        public int configuredDispatchers;

        /** A proxy stands between each dispatcher and each worker. */
        public boolean proxied;
    }

    private final Options o;
    private final Path folder;
    private final Fleet fleet;
    private final JobProxies proxies;
    private final Cluster cluster;
    private final List<String> names = new ArrayList<>();
    private final List<String> voters;
    private final Map<String, InetSocketAddress> consumers = new LinkedHashMap<>();
    private final Map<String, HeldPort> operators = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> environments = new HashMap<>();

    /**
     * Where the processes of one dispatcher find each other: the system takes no socket with a path
     * as long as a test's.
     */
    private final Path links;

    public DispatcherCluster(Path folder, Options options)
            throws IOException, InterruptedException {
        o = options;
        this.folder = folder;
        for (int i = 0; i < o.dispatchers; i++) {
            names.add("n" + (i + 1));
        }
        voters = names.subList(0, o.voters);
        links = Files.createTempDirectory("rig");
        cluster = new Cluster(folder, names, o.sharing == null ? List.of() : voters);
        proxies = new JobProxies(cluster.history());
        fleet =
                new Fleet(
                        o.plan,
                        folder,
                        o.dispatchers,
                        o.fleetThreads,
                        o.proxied ? proxies : Fleet.AddressView.DIRECT);
        for (int i = 0; i < names.size(); i++) {
            InetSocketAddress at = fleet.dispatchers().get(i);
            consumers.put(names.get(i), at);
            operators.put(names.get(i), new HeldPort());
            configure(i);
        }
        cluster.setProcessFactory(this::recipe);
        fleet.begin();
    }

    /**
     * Starts a new version of a dispatcher beside the one that runs, which is handed back. The new
     * one has an operators' port of its own, to which calls of that name go from here on; {@code
     * formerly} is a name for those to the former.
     */
    public JavaProcess upgrade(String name, String formerly) throws IOException {
        operators.put(formerly, operators.get(name));
        operators.put(name, new HeldPort());
        configure(names.indexOf(name));
        return cluster.startBeside(name);
    }

    private void configure(int index) throws IOException {
        String name = names.get(index);
        JsonObject json = Json.parse(Files.readString(fleet.configurationOf(index))).asObject();
        json.set("operator", "127.0.0.1:" + operators.get(name).port());
        if (o.sockets > 0) {
            json.get("limits").asObject().set("sockets", o.sockets);
        }
        if (o.configuredDispatchers > 0) {
            json.get("settings").asObject().set("balancers", o.configuredDispatchers);
        }
        if (o.sharing != null) {
            Path script = cluster.folder(name).resolve("sharing.star");
            Files.writeString(script, o.sharing.create(name, cluster, voters));
            json.set("sharing", script.toAbsolutePath().toString());
        }
        Files.writeString(fleet.configurationOf(index), json.toString());
    }

    private JavaProcess.Builder recipe(String name) throws IOException {
        Path own = links.resolve(name);
        Files.createDirectories(own);
        JavaProcess.Builder s =
                new JavaProcess.Builder(
                                name, "postgrade.cli.Postgrade", "--log-format", "json", "serve")
                        .environment(
                                "ROUTER_CONFIG",
                                fleet.configurationOf(names.indexOf(name))
                                        .toAbsolutePath()
                                        .toString())
                        .environment("TMPDIR", own.toAbsolutePath().toString());
        o.environment.forEach(s::environment);
        environments.getOrDefault(name, Map.of()).forEach(s::environment);
        return s;
    }

    /** For one process, from its next start on. */
    public void environment(String name, String variable, String value) {
        environments.computeIfAbsent(name, n -> new HashMap<>()).put(variable, value);
    }

    public List<String> names() {
        return names;
    }

    public List<String> voters() {
        return voters;
    }

    public Cluster cluster() {
        return cluster;
    }

    public Fleet fleet() {
        return fleet;
    }

    public FleetPlan plan() {
        return o.plan;
    }

    /** What stands before the workers; nothing passes it unless asked for by the options. */
    public JobProxies proxies() {
        return proxies;
    }

    public Path folder() {
        return folder;
    }

    public List<InetSocketAddress> clientAddresses() {
        return List.copyOf(consumers.values());
    }

    /** The operator's step at a voter that does not run. */
    public void beginEra(String name, long era) throws IOException, InterruptedException {
        try (JavaProcess p =
                new JavaProcess.Builder(
                                name,
                                "postgrade.cli.Postgrade",
                                "sharing",
                                "begin-era",
                                cluster.folder(name).resolve("sharing.star").toString(),
                                "--name",
                                name,
                                "--era",
                                Long.toString(era))
                        .start(cluster.history())) {
            if (p.awaitExit() != 0) {
                throw new IllegalStateException(
                        "era " + era + " has not begun at " + name + ": " + lastOf(name));
            }
        }
    }

    public void startAll() throws IOException, InterruptedException {
        for (String name : names) {
            cluster.start(name);
        }
        for (String name : names) {
            awaitReady(name, 240_000);
        }
    }

    /** Waits until it takes jobs, and notes when that was seen first. */
    public long awaitReady(String name, long withinMillis)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        while (System.nanoTime() < end && cluster.process(name).alive()) {
            try (Socket s = new Socket()) {
                s.connect(consumers.get(name), 500);
                s.setSoTimeout(500);
                s.getOutputStream()
                        .write(
                                "GET /-/ready HTTP/1.1\r\n\r\n"
                                        .getBytes(StandardCharsets.ISO_8859_1));
                if (new String(s.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1)
                        .endsWith("200")) {
                    return cluster.history().add(name, "ready", new JsonObject()).micros();
                }
            } catch (IOException e) {
                // Not up yet; whether it ever will be is told by the loop's bounds.
            }
            TimeUnit.MILLISECONDS.sleep(STEP_MS);
        }
        throw new IllegalStateException(
                name + " did not become ready; the last of it: " + lastOf(name));
    }

    private List<History.Event> lastOf(String name) {
        List<History.Event> own =
                cluster.history().all().stream().filter(e -> e.who().equals(name)).toList();
        return own.subList(Math.max(0, own.size() - 5), own.size());
    }

    public OperatorCall.Answer call(String method, String name, String path, String body)
            throws IOException, InterruptedException {
        return OperatorCall.send(method, operators.get(name).address(), path, body);
    }

    /**
     * Asks until the answer is the one sought; each answer that differs from the last is kept in
     * the history.
     */
    public OperatorCall.Answer awaitAnswer(
            String what,
            String method,
            String name,
            String path,
            String body,
            long withinMillis,
            java.util.function.Predicate<OperatorCall.Answer> sought)
            throws InterruptedException {
        long end = Clock.micros() + withinMillis * 1000;
        OperatorCall.Answer last = null;
        while (true) {
            try {
                OperatorCall.Answer now = call(method, name, path, body);
                if (!now.equals(last)) {
                    cluster.history()
                            .add(
                                    name,
                                    "told",
                                    new JsonObject()
                                            .add("path", path)
                                            .add("status", now.status())
                                            .add("text", now.text()));
                }
                last = now;
                if (sought.test(now)) {
                    return now;
                }
            } catch (IOException e) {
                // It is down, or on its way up.
            }
            if (Clock.micros() > end) {
                throw new IllegalStateException(
                        "no "
                                + what
                                + " at "
                                + name
                                + " within "
                                + withinMillis
                                + " ms; last "
                                + last);
            }
            TimeUnit.MILLISECONDS.sleep(STEP_MS);
        }
    }

    @Override
    public void close() throws IOException {
        cluster.close();
        proxies.close();
        fleet.close();
        for (HeldPort p : operators.values()) {
            p.close();
        }
        DiskFaults.wipe(links);
        Files.delete(links);
    }
}

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

    private static final int POLL_MS = 10;

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

    private final Options clusterOptions;
    private final Path folder;
    private final Fleet fleet;
    private final JobProxies proxies;
    private final Cluster cluster;
    private final List<String> names = new ArrayList<>();
    private final List<String> voters;
    private final Map<String, InetSocketAddress> clientAddresses = new LinkedHashMap<>();
    private final Map<String, HeldPort> operatorPorts = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> environments = new HashMap<>();

    /**
     * Where the processes of one dispatcher find each other: the system takes no socket with a path
     * as long as a test's.
     */
    private final Path socketFolder;

    public DispatcherCluster(Path folder, Options options)
            throws IOException, InterruptedException {
        clusterOptions = options;
        this.folder = folder;
        for (int i = 0; i < clusterOptions.dispatchers; i++) {
            names.add("n" + (i + 1));
        }
        voters = names.subList(0, clusterOptions.voters);
        socketFolder = Files.createTempDirectory("rig");
        cluster = new Cluster(folder, names, clusterOptions.sharing == null ? List.of() : voters);
        proxies = new JobProxies(cluster.history());
        fleet =
                new Fleet(
                        clusterOptions.plan,
                        folder,
                        clusterOptions.dispatchers,
                        clusterOptions.fleetThreads,
                        clusterOptions.proxied ? proxies : Fleet.AddressView.DIRECT);
        for (int i = 0; i < names.size(); i++) {
            InetSocketAddress address = fleet.dispatchers().get(i);
            clientAddresses.put(names.get(i), address);
            operatorPorts.put(names.get(i), new HeldPort());
            configure(i);
        }
        cluster.setProcessFactory(this::processBuilder);
        fleet.begin();
    }

    /**
     * Starts a new version of a dispatcher beside the one that runs, which is handed back. The new
     * one has an operators' port of its own, to which calls of that name go from here on; {@code
     * formerly} is a name for those to the former.
     */
    public JavaProcess upgrade(String name, String formerly) throws IOException {
        operatorPorts.put(formerly, operatorPorts.get(name));
        operatorPorts.put(name, new HeldPort());
        configure(names.indexOf(name));
        return cluster.startBeside(name);
    }

    private void configure(int index) throws IOException {
        String name = names.get(index);
        JsonObject json = Json.parse(Files.readString(fleet.configurationOf(index))).asObject();
        json.set("operator", "127.0.0.1:" + operatorPorts.get(name).port());
        if (clusterOptions.sockets > 0) {
            json.get("limits").asObject().set("sockets", clusterOptions.sockets);
        }
        if (clusterOptions.configuredDispatchers > 0) {
            json.get("settings").asObject().set("balancers", clusterOptions.configuredDispatchers);
        }
        if (clusterOptions.sharing != null) {
            Path script = cluster.folder(name).resolve("sharing.star");
            Files.writeString(script, clusterOptions.sharing.create(name, cluster, voters));
            json.set("sharing", script.toAbsolutePath().toString());
        }
        Files.writeString(fleet.configurationOf(index), json.toString());
    }

    private JavaProcess.Builder processBuilder(String name) throws IOException {
        Path processFolder = socketFolder.resolve(name);
        Files.createDirectories(processFolder);
        JavaProcess.Builder builder =
                new JavaProcess.Builder(
                                name, "postgrade.cli.Postgrade", "--log-format", "json", "serve")
                        .environment(
                                "ROUTER_CONFIG",
                                fleet.configurationOf(names.indexOf(name))
                                        .toAbsolutePath()
                                        .toString())
                        .environment("TMPDIR", processFolder.toAbsolutePath().toString());
        clusterOptions.environment.forEach(builder::environment);
        environments.getOrDefault(name, Map.of()).forEach(builder::environment);
        return builder;
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
        return clusterOptions.plan;
    }

    /** What stands before the workers; nothing passes it unless asked for by the options. */
    public JobProxies proxies() {
        return proxies;
    }

    public Path folder() {
        return folder;
    }

    public List<InetSocketAddress> clientAddresses() {
        return List.copyOf(clientAddresses.values());
    }

    /** The operator's step at a voter that does not run. */
    public void beginEra(String name, long era) throws IOException, InterruptedException {
        try (JavaProcess process =
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
            if (process.awaitExit() != 0) {
                throw new IllegalStateException(
                        "era " + era + " has not begun at " + name + ": " + lastEvents(name));
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
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        while (System.nanoTime() < deadlineNanos && cluster.process(name).alive()) {
            try (Socket socket = new Socket()) {
                socket.connect(clientAddresses.get(name), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write(
                                "GET /-/ready HTTP/1.1\r\n\r\n"
                                        .getBytes(StandardCharsets.ISO_8859_1));
                if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1)
                        .endsWith("200")) {
                    return cluster.history().add(name, "ready", new JsonObject()).micros();
                }
            } catch (IOException e) {
                // Not up yet; whether it ever will be is told by the loop's bounds.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        throw new IllegalStateException(
                name + " did not become ready; the last of it: " + lastEvents(name));
    }

    private List<History.Event> lastEvents(String name) {
        List<History.Event> own =
                cluster.history().all().stream().filter(e -> e.who().equals(name)).toList();
        return own.subList(Math.max(0, own.size() - 5), own.size());
    }

    public OperatorCall.Answer call(String method, String name, String path, String body)
            throws IOException, InterruptedException {
        return OperatorCall.send(method, operatorPorts.get(name).address(), path, body);
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
            java.util.function.Predicate<OperatorCall.Answer> condition)
            throws InterruptedException {
        long deadlineMicros = Clock.micros() + withinMillis * 1000;
        OperatorCall.Answer last = null;
        while (true) {
            try {
                OperatorCall.Answer answer = call(method, name, path, body);
                if (!answer.equals(last)) {
                    cluster.history()
                            .add(
                                    name,
                                    "told",
                                    new JsonObject()
                                            .add("path", path)
                                            .add("status", answer.status())
                                            .add("text", answer.text()));
                }
                last = answer;
                if (condition.test(answer)) {
                    return answer;
                }
            } catch (IOException e) {
                // It is down, or on its way up.
            }
            if (Clock.micros() > deadlineMicros) {
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
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    @Override
    public void close() throws IOException {
        cluster.close();
        proxies.close();
        fleet.close();
        for (HeldPort p : operatorPorts.values()) {
            p.close();
        }
        DiskFaults.wipe(socketFolder);
        Files.delete(socketFolder);
    }
}

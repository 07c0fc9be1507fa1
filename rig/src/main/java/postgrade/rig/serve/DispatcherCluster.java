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
 * Real dispatchers, each started as {@code postgrade serve}, in front of one simulated fleet of
 * workers. They are named n1, n2 and so on.
 */
public final class DispatcherCluster implements Closeable {

    private static final int POLL_MS = 10;

    /** Writes the sharing script of a dispatcher; null for dispatchers that do not share. */
    public interface ScriptFactory {
        String create(String name, Cluster cluster, List<String> voters);
    }

    /** Describes the dispatchers to start. */
    public static final class Options {
        public int dispatchers = 3;

        /** Number of voters; these are the first dispatchers. */
        public int voters = 3;

        public FleetPlan plan;
        public ScriptFactory sharing;
        public Map<String, String> environment = new HashMap<>();
        public int fleetThreads = 2;

        /**
         * File descriptors that a dispatcher may hold; 0 for the limit that the fleet configures.
         */
        public int sockets;

        /** Number of dispatchers stated in the settings; 0 for the actual number. */
        public int configuredDispatchers;

        /** Whether there is a proxy between each dispatcher and each worker. */
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
     * Holds the sockets through which processes of one dispatcher find each other. A test's own
     * folder would make the socket paths longer than the system permits.
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
     * Starts a new version of a dispatcher beside the running one, which is returned. The new
     * process has an operator port of its own, which calls by {@code name} reach from then on;
     * calls by {@code formerName} reach the former process.
     */
    public JavaProcess upgrade(String name, String formerName) throws IOException {
        operatorPorts.put(formerName, operatorPorts.get(name));
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

    /** Sets a variable for one process, from its next start on. */
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

    /**
     * Returns the proxies to the workers; they carry traffic only if {@link Options#proxied} is
     * set.
     */
    public JobProxies proxies() {
        return proxies;
    }

    public Path folder() {
        return folder;
    }

    public List<InetSocketAddress> clientAddresses() {
        return List.copyOf(clientAddresses.values());
    }

    /** Begins an era at a voter that is not running, as an operator does. */
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

    /** Waits until the dispatcher accepts jobs, and records when that was first observed. */
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
                // Not up yet; the time limit and the check of the process end the loop.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        throw new IllegalStateException(
                name + " did not become ready; its last events: " + lastEvents(name));
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
     * Repeats a call until its answer meets the condition. Each answer that differs from the
     * previous one is recorded in the history.
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
                // The process is down or starting.
            }
            if (Clock.micros() > deadlineMicros) {
                throw new IllegalStateException(
                        "no "
                                + what
                                + " at "
                                + name
                                + " within "
                                + withinMillis
                                + " ms; last answer: "
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

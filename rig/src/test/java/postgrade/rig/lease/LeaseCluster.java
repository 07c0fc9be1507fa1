package postgrade.rig.lease;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import postgrade.fleet.net.HeldPort;
import postgrade.rig.history.History;
import postgrade.rig.process.JavaProcess;
import postgrade.rig.proxy.ProxyMesh;

/**
 * Starts three voters and two observers as separate processes, with a proxy between every two of
 * them and clock rates up to 2% apart.
 */
final class LeaseCluster implements Closeable {

    static final List<String> VOTERS = List.of("a", "b", "c");
    static final List<String> OBSERVERS = List.of("x", "y");

    /** Deviation of each process's clock rate, in parts per million. */
    private static final Map<String, Integer> CLOCK_RATE_PPM =
            Map.of("a", 10_000, "b", -10_000, "c", 0, "x", -10_000, "y", 10_000);

    private static final long RECOVERY_TIMEOUT_MILLIS = 240_000;

    final History history;
    final ProxyMesh mesh;
    final Map<String, JavaProcess> processes = new ConcurrentHashMap<>();
    private final Map<String, HeldPort> ports = new HashMap<>();
    private final Path folder;
    private final String[] jvmProperties;
    private long lastId;

    /**
     * Prepares the cluster; {@link #start()} starts its processes.
     *
     * @param jvmProperties JVM options for every process
     */
    LeaseCluster(Path folder, History history, String... jvmProperties) throws IOException {
        this.folder = folder;
        this.history = history;
        this.jvmProperties = jvmProperties;
        mesh = new ProxyMesh(Stream.concat(VOTERS.stream(), OBSERVERS.stream()).toList(), VOTERS);
        for (String voter : VOTERS) {
            HeldPort port = new HeldPort();
            ports.put(voter, port);
            mesh.setTarget(voter, port.address());
        }
    }

    void start() throws Exception {
        start("a", "begin");
        for (String n : List.of("b", "c", "x", "y")) {
            start(n);
        }
        awaitStableLeader();
    }

    void start(String name, String... extraArgs) throws IOException {
        String voters =
                VOTERS.stream()
                        .map(
                                v ->
                                        v
                                                + "="
                                                + (v.equals(name)
                                                        ? ports.get(v).port()
                                                        : mesh.between(name, v).port()))
                        .collect(Collectors.joining(","));
        List<String> args =
                new ArrayList<>(
                        List.of(
                                name,
                                folder.resolve(name).toString(),
                                voters,
                                CLOCK_RATE_PPM.get(name).toString()));
        args.addAll(List.of(extraArgs));
        List<String> flags =
                new ArrayList<>(
                        List.of(
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx96m",
                                "-XX:-UsePerfData"));
        flags.addAll(List.of(jvmProperties));
        processes.put(
                name,
                new JavaProcess.Builder(
                                name, LeaseNode.class.getName(), args.toArray(new String[0]))
                        .jvmFlags(flags.toArray(new String[0]))
                        .start(history));
    }

    /**
     * Waits until the latest status of every voter shows it voting, three voters in total, and the
     * same live leader.
     */
    void awaitStableLeader() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + RECOVERY_TIMEOUT_MILLIS * 1_000_000;
        while (leader() == null) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "no stable leader within "
                                + RECOVERY_TIMEOUT_MILLIS
                                + " ms: "
                                + latestStatuses());
            }
            int from = history.size();
            try {
                history.await("a status event", from, 100, e -> e.kind().equals("standing"));
            } catch (IllegalStateException e) {
                // No status event within 100 ms: the condition is checked again.
            }
        }
    }

    /** Returns the leader on which all three voters agree, or null. */
    String leader() {
        Map<String, History.Event> latest = latestStatuses();
        String leader = null;
        for (String voter : VOTERS) {
            History.Event status = latest.get(voter);
            if (status == null
                    || !status.kind().equals("standing")
                    || !status.text("role").equals("VOTER")
                    || status.number("voters") != 3
                    || leader != null && !leader.equals(status.text("leader"))) {
                return null;
            }
            leader = status.text("leader");
        }
        return VOTERS.contains(leader) ? leader : null;
    }

    private Map<String, History.Event> latestStatuses() {
        Map<String, History.Event> latest = new HashMap<>();
        for (History.Event event : history.all()) {
            if (event.kind().equals("standing")
                    || event.kind().equals("begun")
                    || event.kind().equals("ended")) {
                latest.put(event.who(), event);
            }
        }
        return latest;
    }

    void wipe(String name) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve(name))) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }

    synchronized String freshId() {
        return "q" + ++lastId;
    }

    /**
     * Sends a command to a process; the answer is recorded as a {@code reply} event with this id.
     */
    void send(String process, String id, long timeoutMillis, String command) {
        try {
            processes.get(process).writeLine(id + " " + timeoutMillis + " " + command);
        } catch (IOException e) {
            // The process has died: no answer will come.
        }
    }

    @Override
    public void close() throws IOException {
        processes.values().forEach(JavaProcess::close);
        mesh.close();
        for (HeldPort port : ports.values()) {
            port.close();
        }
    }
}

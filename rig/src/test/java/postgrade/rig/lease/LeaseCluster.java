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
 * Three voters and two observers in processes of their own, a proxy between every two, clocks 2%
 * apart.
 */
final class LeaseCluster implements Closeable {

    static final List<String> VOTERS = List.of("a", "b", "c");
    static final List<String> OBSERVERS = List.of("x", "y");

    /** Parts per million by which a process's clock is off. */
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
     * @param more virtual machine's properties for every process
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
     * Until every voter votes, all three count and all agree on one leader that lives, by what each
     * said last.
     */
    void awaitStableLeader() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + RECOVERY_TIMEOUT_MILLIS * 1_000_000;
        while (leader() == null) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "not well again within "
                                + RECOVERY_TIMEOUT_MILLIS
                                + " ms: "
                                + latestStatuses());
            }
            int from = history.size();
            try {
                history.await("word of a standing", from, 100, e -> e.kind().equals("standing"));
            } catch (IllegalStateException e) {
                // Looked at again.
            }
        }
    }

    /** The leader on which all three voters agree, or null. */
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

    /** Sends a call through a process; its answer comes as an event {@code reply} with this id. */
    void send(String process, String id, long timeoutMillis, String command) {
        try {
            processes.get(process).writeLine(id + " " + timeoutMillis + " " + command);
        } catch (IOException e) {
            // It has died; no answer will come.
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

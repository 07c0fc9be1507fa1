package postgrade.rig.cluster;

import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.fleet.net.HeldPort;
import postgrade.rig.disk.DiskFaults;
import postgrade.rig.history.History;
import postgrade.rig.process.JavaProcess;
import postgrade.rig.proxy.Direction;
import postgrade.rig.proxy.ProxyMesh;
import postgrade.rig.schedule.Step;

/**
 * Processes of one kind with their environment: a folder with a store for each, a reserved port for
 * each that listens, a fault proxy between each pair, and one history. Closing it ends all
 * processes.
 */
public final class Cluster implements Closeable {

    /** Describes how a process is started; called for each start. */
    public interface ProcessFactory {
        JavaProcess.Builder builderFor(String name) throws IOException;
    }

    private final Path folder;
    private final History history;
    private final ProxyMesh mesh;
    private final Map<String, HeldPort> ports = new LinkedHashMap<>();
    private final Map<String, JavaProcess> running = new LinkedHashMap<>();

    /** Processes that still ran when {@link #startBeside} replaced them. */
    private final List<JavaProcess> replaced = new ArrayList<>();

    private final Map<String, Path> copies = new LinkedHashMap<>();
    private ProcessFactory processFactory;

    /**
     * Creates the folders, ports and proxies; starts no process.
     *
     * @param listening processes that others connect to; each gets a port of its own
     */
    public Cluster(Path folder, List<String> names, List<String> listening) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        history = new History(folder.resolve("history.jsonl"));
        mesh = new ProxyMesh(names, listening);
        for (String name : names) {
            Files.createDirectories(store(name));
        }
        for (String name : listening) {
            HeldPort p = new HeldPort();
            ports.put(name, p);
            mesh.setTarget(name, p.address());
        }
    }

    public void setProcessFactory(ProcessFactory factory) {
        processFactory = factory;
    }

    public History history() {
        return history;
    }

    public ProxyMesh mesh() {
        return mesh;
    }

    public Path folder(String name) {
        return folder.resolve(name);
    }

    public Path store(String name) {
        return folder(name).resolve("store");
    }

    /**
     * Returns the port at which a process reaches another: its own port for itself, the port of the
     * proxy between them for others.
     */
    public int port(String from, String to) {
        return from.equals(to) ? ports.get(to).port() : mesh.between(from, to).port();
    }

    public JavaProcess process(String name) {
        JavaProcess process = running.get(name);
        if (process == null) {
            throw new IllegalStateException(name + " was not started");
        }
        return process;
    }

    public synchronized JavaProcess start(String name) throws IOException {
        JavaProcess before = running.get(name);
        if (before != null && before.alive()) {
            throw new IllegalStateException(name + " is already running");
        }
        JavaProcess process = processFactory.builderFor(name).start(history);
        running.put(name, process);
        return process;
    }

    /**
     * Starts a second process of that name beside the first, for an upgrade. From then on the name
     * denotes the new process. Returns the former one.
     */
    public synchronized JavaProcess startBeside(String name) throws IOException {
        JavaProcess before = process(name);
        JavaProcess process = processFactory.builderFor(name).start(history);
        replaced.add(before);
        running.put(name, process);
        return before;
    }

    /** Carries out a step of a fault schedule. */
    public void execute(Step step) throws IOException, InterruptedException {
        history.add(
                "rig",
                "step",
                new JsonObject()
                        .add("do", step.action())
                        .add("who", step.target())
                        .add("to", step.to())
                        .add("figure", step.amount()));
        switch (step.action()) {
            case "kill" -> process(step.target()).kill();
            case "start" -> start(step.target());
            case "stop" -> process(step.target()).stop();
            case "resume" -> process(step.target()).resume();
            case "terminate" -> process(step.target()).terminate();
            case "cut" -> mesh.between(step.target(), step.to()).cut();
            case "cut_out" -> mesh.between(step.target(), step.to()).cut(Direction.OUT);
            case "cut_back" -> mesh.between(step.target(), step.to()).cut(Direction.BACK);
            case "delay" ->
                    mesh.forEachProxyOf(
                            step.target(),
                            p -> p.delay(Direction.OUT, (long) (step.amount() * 1000)));
            case "reset" -> mesh.forEachProxyOf(step.target(), p -> p.reset());
            case "stall" -> mesh.forEachProxyOf(step.target(), p -> p.stall());
            case "close_after" ->
                    mesh.forEachProxyOf(
                            step.target(), p -> p.closeAfter(Direction.OUT, (long) step.amount()));
            case "isolate" -> mesh.isolate(Set.of(step.target()));
            case "heal" -> mesh.heal();
            case "wipe" -> DiskFaults.wipe(store(step.target()));
            case "flip" -> flipBits(step.target(), (int) Math.max(1, step.amount()), step.micros());
            case "truncate" -> truncate(step.target(), step.amount());
            case "keep" -> saveCopy(step.target());
            case "roll_back" -> rollBack(step.target());
            default -> throw new IllegalArgumentException(step.action());
        }
    }

    /** Flips bits in each file of a store. */
    public void flipBits(String name, int count, long seed) throws IOException {
        for (Path p : DiskFaults.files(store(name))) {
            DiskFaults.flipBits(p, count, seed);
        }
    }

    public void truncate(String name, double fraction) throws IOException {
        for (Path p : DiskFaults.files(store(name))) {
            DiskFaults.truncate(p, fraction);
        }
    }

    public void saveCopy(String name) throws IOException {
        Path copy = folder(name).resolve("copy");
        DiskFaults.copy(store(name), copy);
        copies.put(name, copy);
    }

    public void rollBack(String name) throws IOException {
        DiskFaults.rollBack(store(name), copies.get(name));
    }

    @Override
    public void close() throws IOException {
        running.values().forEach(JavaProcess::close);
        replaced.forEach(JavaProcess::close);
        mesh.close();
        for (HeldPort p : ports.values()) {
            p.close();
        }
        history.close();
    }
}

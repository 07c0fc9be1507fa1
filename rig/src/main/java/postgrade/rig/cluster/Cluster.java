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
import postgrade.rig.disk.Disk;
import postgrade.rig.history.History;
import postgrade.rig.process.Program;
import postgrade.rig.proxy.Mesh;
import postgrade.rig.proxy.Way;
import postgrade.rig.timetable.Step;

/**
 * Processes of one kind with all that stands between and under them: a folder for each with its
 * store, a port that is held for each that listens, a proxy between each pair, one history. Closing
 * it leaves no process behind.
 */
public final class Cluster implements Closeable {

    /** Says how a process is started; asked anew each time. */
    public interface Recipe {
        Program.Start of(String name) throws IOException;
    }

    private final Path folder;
    private final History history;
    private final Mesh mesh;
    private final Map<String, HeldPort> ports = new LinkedHashMap<>();
    private final Map<String, Program> running = new LinkedHashMap<>();

    /** Those whose place another of the same name has taken while they still ran. */
    private final List<Program> former = new ArrayList<>();

    private final Map<String, Path> copies = new LinkedHashMap<>();
    private Recipe recipe;

    /**
     * @param listening those that others connect to; each gets a port of its own
     */
    public Cluster(Path folder, List<String> names, List<String> listening) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        history = new History(folder.resolve("history.jsonl"));
        mesh = new Mesh(names, listening);
        for (String name : names) {
            Files.createDirectories(store(name));
        }
        for (String name : listening) {
            HeldPort p = new HeldPort();
            ports.put(name, p);
            mesh.listens(name, p.address());
        }
    }

    public void recipe(Recipe of) {
        recipe = of;
    }

    public History history() {
        return history;
    }

    public Mesh mesh() {
        return mesh;
    }

    public Path folder(String name) {
        return folder.resolve(name);
    }

    public Path store(String name) {
        return folder(name).resolve("store");
    }

    /** Where a process finds another: itself at its own port, others through the proxy between. */
    public int port(String from, String to) {
        return from.equals(to) ? ports.get(to).port() : mesh.between(from, to).port();
    }

    public Program of(String name) {
        Program p = running.get(name);
        if (p == null) {
            throw new IllegalStateException(name + " was not started");
        }
        return p;
    }

    public synchronized Program start(String name) throws IOException {
        Program before = running.get(name);
        if (before != null && before.alive()) {
            throw new IllegalStateException(name + " runs already");
        }
        Program p = recipe.of(name).in(history);
        running.put(name, p);
        return p;
    }

    /**
     * Starts a second process of that name beside the first, for an upgrade. From here on the name
     * means the new one; the former is handed back.
     */
    public synchronized Program startBeside(String name) throws IOException {
        Program before = of(name);
        Program p = recipe.of(name).in(history);
        former.add(before);
        running.put(name, p);
        return before;
    }

    /** Carries a step of a timetable out. */
    public void act(Step s) throws IOException, InterruptedException {
        history.add(
                "rig",
                "step",
                new JsonObject()
                        .add("do", s.act())
                        .add("who", s.who())
                        .add("to", s.to())
                        .add("figure", s.figure()));
        switch (s.act()) {
            case "kill" -> of(s.who()).kill();
            case "start" -> start(s.who());
            case "stop" -> of(s.who()).stop();
            case "resume" -> of(s.who()).resume();
            case "terminate" -> of(s.who()).terminate();
            case "cut" -> mesh.between(s.who(), s.to()).cut();
            case "cut_out" -> mesh.between(s.who(), s.to()).cut(Way.OUT);
            case "cut_back" -> mesh.between(s.who(), s.to()).cut(Way.BACK);
            case "delay" -> mesh.of(s.who(), p -> p.delay(Way.OUT, (long) (s.figure() * 1000)));
            case "reset" -> mesh.of(s.who(), p -> p.reset());
            case "stall" -> mesh.of(s.who(), p -> p.stall());
            case "close_after" -> mesh.of(s.who(), p -> p.closeAfter(Way.OUT, (long) s.figure()));
            case "isolate" -> mesh.isolate(Set.of(s.who()));
            case "heal" -> mesh.heal();
            case "wipe" -> Disk.wipe(store(s.who()));
            case "flip" -> flip(s.who(), (int) Math.max(1, s.figure()), s.micros());
            case "truncate" -> truncate(s.who(), s.figure());
            case "keep" -> keep(s.who());
            case "roll_back" -> rollBack(s.who());
            default -> throw new IllegalArgumentException(s.act());
        }
    }

    /** Turns bits over in each file of a store. */
    public void flip(String name, int count, long seed) throws IOException {
        for (Path p : Disk.files(store(name))) {
            Disk.flip(p, count, seed);
        }
    }

    public void truncate(String name, double part) throws IOException {
        for (Path p : Disk.files(store(name))) {
            Disk.truncate(p, part);
        }
    }

    public void keep(String name) throws IOException {
        Path copy = folder(name).resolve("copy");
        Disk.copy(store(name), copy);
        copies.put(name, copy);
    }

    public void rollBack(String name) throws IOException {
        Disk.rollBack(store(name), copies.get(name));
    }

    @Override
    public void close() throws IOException {
        running.values().forEach(Program::close);
        former.forEach(Program::close);
        mesh.close();
        for (HeldPort p : ports.values()) {
            p.close();
        }
        history.close();
    }
}

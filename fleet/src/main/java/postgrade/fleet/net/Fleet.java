package postgrade.fleet.net;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.fleet.Clock;
import postgrade.fleet.Ledger;
import postgrade.fleet.plan.FleetPlan;
import postgrade.fleet.plan.FleetPlan.Fault;
import postgrade.fleet.plan.FleetPlan.JobClass;
import postgrade.log.Events;

/**
 * A stand-in fleet: workers, and for each dispatcher an agent of discovery, all on loopback. Writes
 * the ledgers {@code workers.ledger} and {@code discovery.ledger} and a configuration for each
 * dispatcher into its folder.
 */
public final class Fleet implements Closeable {

    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final long FLUSH_MS = 50;

    /** Where dispatchers are told that workers listen: at their own addresses, or before them. */
    public interface AddressView {

        /** Every worker is told of at its own address. */
        AddressView DIRECT = (dispatcher, worker, address) -> address;

        /**
         * The address that a dispatcher, counted from 0, is told of a worker.
         *
         * @param address the worker's own, as {@code host:port}
         */
        String of(int dispatcher, String worker, String address);
    }

    private final FleetPlan plan;
    private final AddressView view;
    private final Path folder;
    private final NioEventLoopGroup loops;
    private final Ledger workersLedger;
    private final Ledger discoveryLedger;
    private final List<WorkerServer> workers = new ArrayList<>();
    private final List<DiscoveryServer> discovery = new ArrayList<>();
    private final List<InetSocketAddress> dispatchers = new ArrayList<>();
    private final List<HeldPort> held = new ArrayList<>();
    private final SplittableRandom random;
    private ScheduledExecutorService clock;

    /**
     * Starts a fleet.
     *
     * @param dispatchers how many there will be; their addresses are chosen here
     * @param threads event loops for the workers
     */
    public Fleet(FleetPlan plan, Path folder, int dispatchers, int threads)
            throws IOException, InterruptedException {
        this(plan, folder, dispatchers, threads, AddressView.DIRECT);
    }

    /** Starts a fleet whose workers are told of at other addresses than their own. */
    public Fleet(FleetPlan plan, Path folder, int dispatchers, int threads, AddressView view)
            throws IOException, InterruptedException {
        this.plan = plan;
        this.view = view;
        this.folder = folder;
        random = new SplittableRandom(plan.seed + 17);
        Files.createDirectories(folder);
        workersLedger = new Ledger(folder.resolve("workers.ledger"));
        discoveryLedger = new Ledger(folder.resolve("discovery.ledger"));
        loops = new NioEventLoopGroup(threads, new DefaultThreadFactory("fleet", true));
        chooseAddresses(dispatchers);
        for (FleetPlan.Worker w : plan.workers) {
            WorkerServer server =
                    new WorkerServer(plan, w, loops.next(), this.dispatchers, workersLedger);
            server.listen();
            workers.add(server);
        }
        for (int d = 0; d < dispatchers; d++) {
            DiscoveryServer agent = new DiscoveryServer(d, loops.next(), discoveryLedger);
            List<DiscoveryServer.Entry> known = new ArrayList<>();
            for (WorkerServer w : workers) {
                known.add(entry(w, d, "ready", 0));
            }
            agent.known(known);
            int port = agent.listen();
            discovery.add(agent);
            Files.writeString(
                    folder.resolve("n" + (d + 1) + ".json"), configuration(d, port, known));
        }
    }

    /**
     * Ports for the dispatchers, which bind them later in processes of their own. Guarded against:
     * a port from the ephemeral range, free when chosen, being taken for an outgoing connection (of
     * a worker, a client or another dispatcher) before its dispatcher listens, or while it is away.
     * So the ports come from below that range, which no bind to port 0 or connect is given, and
     * each is held as long as the fleet is there.
     */
    private void chooseAddresses(int count) throws IOException {
        int[] span = portsBelowEphemeral();
        int width = span[1] - span[0];
        int first = random.nextInt(width);
        for (int i = 0; i < width && dispatchers.size() < count; i++) {
            int port = span[0] + (first + i) % width;
            try {
                held.add(new HeldPort(port));
                dispatchers.add(new InetSocketAddress("127.0.0.1", port));
            } catch (IOException e) {
                // Taken: the next one is tried.
            }
        }
        if (dispatchers.size() < count) {
            throw new IOException(
                    "no " + count + " free ports between " + span[0] + " and " + span[1]);
        }
    }

    /**
     * The ports [from, to) for dispatchers: up to 8,000 just below the system's ephemeral range.
     */
    static int[] portsBelowEphemeral() {
        int low = 32768;
        try {
            Path range = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
            low = Integer.parseInt(Files.readAllLines(range).get(0).trim().split("\\s+")[0]);
        } catch (IOException | RuntimeException e) {
            // Not Linux, or not readable: the usual bound stands.
        }
        int to = Math.max(low, 2048);
        return new int[] {Math.max(1024, to - 8000), to};
    }

    /** Where the dispatchers are to listen, in order. */
    public List<InetSocketAddress> dispatchers() {
        return Collections.unmodifiableList(dispatchers);
    }

    /** The configuration of a dispatcher, counted from 0. */
    public Path configurationOf(int dispatcher) {
        return folder.resolve("n" + (dispatcher + 1) + ".json");
    }

    public int size() {
        return workers.size();
    }

    private DiscoveryServer.Entry entry(
            WorkerServer w, int dispatcher, String state, long startedMillis) {
        return new DiscoveryServer.Entry(
                w.worker.id(),
                view.of(dispatcher, w.worker.id(), w.address(dispatcher)),
                w.worker.zone(),
                w.worker.spec().kind(),
                state,
                startedMillis);
    }

    private String configuration(int d, int discoveryPort, List<DiscoveryServer.Entry> known) {
        StringBuilder classes = new StringBuilder();
        StringBuilder stretch = new StringBuilder();
        StringBuilder priority = new StringBuilder();
        for (JobClass c : plan.classes.values()) {
            String comma = classes.length() == 0 ? "" : ",";
            classes.append(comma)
                    .append(
                            String.format(
                                    Locale.ROOT,
                                    "{\"name\":\"%s\",\"idempotency\":\"%s\","
                                            + "\"onTimeNs\":%d,\"deadlineNs\":%d,\"importance\":%s}",
                                    c.name(),
                                    c.repeatable() ? "read_like" : "non_idempotent",
                                    (long) (c.aimMs() * 1e6),
                                    (long) (c.deadlineMs() * 1e6),
                                    c.worth()));
            stretch.append(comma).append(c.stretch());
            priority.append(comma).append(c.priority());
        }
        StringBuilder tenants = new StringBuilder();
        plan.tenants.forEach(
                (name, rate) ->
                        tenants.append(tenants.length() == 0 ? "" : ",")
                                .append("{\"name\":\"")
                                .append(name)
                                .append("\",\"quotaPerS\":")
                                .append(rate)
                                .append('}'));
        var spec = plan.workers.get(0).spec();
        return String.format(
                Locale.ROOT,
                "{\"name\":\"n%d\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:%d\","
                        + "\"seed\":\"%x\",%n\"limits\":{\"sockets\":4096},%n\"known\":%s,%n\"settings\":{\"balancers\":%d,"
                        + "\"index\":%d,\"zone\":\"%s\",\"classes\":[%s],\"tenants\":[%s],\"limits\":{\"cancel\":true,"
                        + "\"maxAttempts\":4,\"mayDuplicate\":false,\"mostHeld\":20000,\"connIdleNs\":%d,"
                        + "\"connectTimeoutNs\":250000000,\"maxRetryAfterNs\":2000000000},\"obligations\":{\"coldShare\":%s,"
                        + "\"warmWithinNs\":%d,\"fallMultiple\":%s,\"fallNs\":%d},\"specifics\":{\"tellsStart\":true,"
                        + "\"classStretch\":[%s],\"classPriority\":[%s],\"queueOrder\":\"priority\"},"
                        + "\"telemetry\":{\"source\":\"silent\"},\"tickNs\":4000000}}%n",
                d + 1,
                dispatchers.get(d).getPort(),
                discoveryPort,
                plan.seed * 1000 + d,
                DiscoveryServer.json(1, true, known),
                dispatchers.size(),
                d,
                plan.workers.get(0).zone(),
                classes,
                tenants,
                (long) (plan.idleMs * 1e6),
                spec.coldShare(),
                spec.warmMicros() * 1000,
                spec.fallMultiple(),
                spec.fallMicros() * 1000,
                stretch,
                priority);
    }

    // ---- The timetable.

    /** Starts the timetable of faults; its times count from now. */
    public void begin() {
        clock = loops.next();
        clock.scheduleAtFixedRate(this::flush, FLUSH_MS, FLUSH_MS, TimeUnit.MILLISECONDS);
        for (Fault f : plan.faults) {
            List<WorkerServer> met = part(f);
            at(
                    f.at(),
                    () -> {
                        discoveryLedger.add(Clock.micros(), "fault", "", f.kind(), "begins");
                        Events.info(LOG, "fleet.fault-begins")
                                .addKeyValue("kind", f.kind())
                                .addKeyValue("workers", met.size())
                                .log("fault " + f.kind() + " begins at " + met.size() + " workers");
                        begin(f, met);
                    });
            at(
                    f.at() + f.lasts(),
                    () -> {
                        discoveryLedger.add(Clock.micros(), "fault", "", f.kind(), "ends");
                        end(f, met);
                    });
        }
    }

    private void at(double seconds, Runnable task) {
        clock.schedule(task, (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    }

    /** The workers that a fault meets: the same ones for one seed. */
    private List<WorkerServer> part(Fault f) {
        List<WorkerServer> all = new ArrayList<>(workers);
        Collections.shuffle(all, new Random(random.nextLong()));
        return all.subList(0, Math.max(1, (int) Math.round(f.part() * all.size())));
    }

    private void begin(Fault f, List<WorkerServer> met) {
        switch (f.kind()) {
            case "fast_errors" -> met.forEach(w -> w.on(() -> w.failing = f.figure("share", 0.7)));
            case "resets" -> met.forEach(w -> w.on(() -> w.resetting = f.figure("share", 0.3)));
            case "silence" -> met.forEach(w -> w.on(() -> w.silent = true));
            case "heavy_tail" ->
                    met.forEach(
                            w ->
                                    w.on(
                                            () -> {
                                                w.tailClass = f.jobClass();
                                                w.tailShare = f.figure("share", 0.01);
                                                w.tailFactor = f.figure("factor", 15);
                                            }));
            case "neighbour" ->
                    toggle(
                            f,
                            met,
                            f.figure("on_s", 2),
                            f.figure("on_s", 2),
                            (w, on) -> w.model().neighbour(on ? f.figure("share", 0.5) : 0));
            case "pauses" ->
                    toggle(
                            f,
                            met,
                            f.figure("pause_ms", 100) / 1000,
                            f.figure("every_s", 2),
                            (w, on) -> w.model().pause(on));
            case "discovery_silence" -> discovery.forEach(a -> a.silent(true));
            case "drain", "shrink" -> {
                double over = f.kind().equals("shrink") ? f.lasts() : 0;
                for (int i = 0; i < met.size(); i++) {
                    WorkerServer w = met.get(i);
                    at(over * i / met.size(), () -> leave(w, f.figure("drain_s", 3)));
                }
            }
            case "restart" -> {
                for (int i = 0; i < met.size(); i++) {
                    WorkerServer w = met.get(i);
                    at(f.lasts() * i / met.size(), () -> restart(w, f.figure("down_s", 1)));
                }
            }
            default -> throw new IllegalStateException(f.kind());
        }
    }

    private interface Switch {
        void set(WorkerServer w, boolean on);
    }

    private void toggle(Fault f, List<WorkerServer> met, double on, double off, Switch s) {
        for (WorkerServer w : met) {
            double phase = random.nextDouble() * (on + off);
            for (double t = phase; t + on < f.lasts(); t += on + off) {
                at(t, () -> w.on(() -> s.set(w, true)));
                at(t + on, () -> w.on(() -> s.set(w, false)));
            }
        }
    }

    private void end(Fault f, List<WorkerServer> met) {
        switch (f.kind()) {
            case "fast_errors" -> met.forEach(w -> w.on(() -> w.failing = 0));
            case "resets" -> met.forEach(w -> w.on(() -> w.resetting = 0));
            case "silence" -> met.forEach(w -> w.on(() -> w.silent = false));
            case "heavy_tail" -> met.forEach(w -> w.on(() -> w.tailShare = 0));
            case "discovery_silence" -> discovery.forEach(a -> a.silent(false));
            default -> {}
        }
    }

    /** Drains a worker, which is gone once it is done or its time is over. */
    private void leave(WorkerServer w, double drainSeconds) {
        w.on(() -> w.drain(true));
        notice(w, "draining", 0);
        at(
                drainSeconds,
                () -> {
                    w.on(() -> w.die(true));
                    notice(w, "gone", 0);
                });
    }

    /** The process dies and another starts, cold; the list tells of it late. */
    private void restart(WorkerServer w, double downSeconds) {
        w.on(() -> w.die(true));
        at(
                downSeconds,
                () -> {
                    w.on(w::restart);
                    notice(w, "ready", System.currentTimeMillis());
                });
    }

    /**
     * Tells each dispatcher's agent, each at a time of its own; lost notices come with a later one.
     */
    private void notice(WorkerServer w, String state, long startedMillis) {
        for (int d = 0; d < discovery.size(); d++) {
            DiscoveryServer agent = discovery.get(d);
            DiscoveryServer.Entry e = entry(w, d, state, startedMillis);
            double late =
                    plan.noticeMs[0] + (plan.noticeMs[1] - plan.noticeMs[0]) * random.nextDouble();
            boolean lost = random.nextDouble() < plan.noticesLost;
            at((lost ? late + 5000 : late) / 1000, () -> agent.change(List.of(e)));
        }
    }

    /** Restarts one worker, counted from 0, which then is cold; {@link #begin} has been called. */
    public void restart(int worker, double downSeconds) {
        clock.execute(() -> restart(workers.get(worker), downSeconds));
    }

    public void flush() {
        workersLedger.flush();
        discoveryLedger.flush();
    }

    @Override
    public void close() throws IOException {
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(3000);
        for (HeldPort p : held) {
            p.close();
        }
        workersLedger.close();
        discoveryLedger.close();
    }
}

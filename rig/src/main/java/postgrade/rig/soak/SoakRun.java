package postgrade.rig.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.check.LedgerReader.Line;
import postgrade.fleet.check.RuleChecker;
import postgrade.fleet.plan.FleetPlan;
import postgrade.rig.load.LoadGenerator;
import postgrade.rig.serve.DispatcherCluster;

/** One run of the soak test: starts all processes, carries out the plan, and checks the ledgers. */
final class SoakRun {

    private static final long READY_TIMEOUT_MILLIS = 240_000;
    private static final long RESTART_PAUSE_MILLIS = 500;

    private static final long RESPONSE_TIMEOUT_MILLIS = 20_000;

    /**
     * How long new connections still arrive after a dispatcher got SIGTERM, as a load balancer
     * needs time to notice.
     */
    private static final long FRONT_END_UPDATE_MILLIS = 400;

    private final SoakPlan plan;
    private final SoakLimits limits;
    private final Path folder;
    private final RandomFaults exchangeFaults;

    /** One lock for each dispatcher. */
    private final List<Object> dispatcherLocks;

    /** Dispatchers killed without notice, with the times. */
    private final List<Kill> kills = new ArrayList<>();

    private record Kill(String dispatcher, long micros) {}

    /** Planned faults that could not be injected. */
    private final List<String> notInjected = new ArrayList<>();

    SoakRun(SoakPlan plan, SoakLimits limits, Path folder) {
        this.plan = plan;
        this.limits = limits;
        this.folder = folder;
        exchangeFaults = new RandomFaults(plan.seed(), plan.exchangeFaults());
        dispatcherLocks = Stream.generate(Object::new).limit(plan.dispatchers()).toList();
    }

    SoakResult run() throws IOException, InterruptedException, ExecutionException {
        long contradicted;
        try (DispatcherCluster cluster = open()) {
            cluster.startAll();
            cluster.proxies().setFaultSelector(exchangeFaults);
            runPlan(cluster);
            contradicted = contradictedEnds(cluster);
            exchangeFaults
                    .frequentButNotInjected()
                    .forEach(kind -> recordNotInjected("exchange fault " + kind));
        }
        return judge(contradicted);
    }

    private DispatcherCluster open() throws IOException, InterruptedException {
        DispatcherCluster.Options options = new DispatcherCluster.Options();
        options.dispatchers = plan.dispatchers();
        options.configuredDispatchers = plan.configuredDispatchers();
        options.voters = 0;
        options.proxied = true;
        options.sockets = 1024;
        options.plan = FleetPlan.of("soak.star", plan.fleet());
        return new DispatcherCluster(folder, options);
    }

    private void runPlan(DispatcherCluster cluster)
            throws IOException, InterruptedException, ExecutionException {
        // One thread for each fault, as a fault waits for the previous one at the same dispatcher.
        ScheduledExecutorService clock =
                Executors.newScheduledThreadPool(plan.processFaults().size() + 1);
        try (IdleClients idle = new IdleClients();
                LoadGenerator load =
                        new LoadGenerator(
                                cluster.clientAddresses(),
                                kinds(cluster),
                                plan.seed(),
                                folder.resolve("clients.ledger"))) {
            idle.open(cluster.clientAddresses(), plan.idleClients());
            requireConnected(idle);
            load.setRate(plan.jobsPerSecond());
            List<Future<?>> faults = new ArrayList<>();
            long[] freeAtMillis = new long[plan.dispatchers()];
            for (ProcessFault fault : plan.processFaults()) {
                // Faults at one dispatcher follow one another, as a restart takes some time.
                long atMillis = Math.max(fault.atMillis(), freeAtMillis[fault.dispatcher()]);
                freeAtMillis[fault.dispatcher()] = atMillis + duration(fault);
                faults.add(
                        clock.schedule(
                                () -> inject(cluster, load, fault),
                                atMillis,
                                TimeUnit.MILLISECONDS));
            }
            clock.schedule(() -> {}, plan.loadMillis(), TimeUnit.MILLISECONDS).get();
            load.setRate(0);
            for (Future<?> fault : faults) {
                fault.get();
            }
            load.finish();
            cluster.fleet().flush();
        } finally {
            clock.shutdownNow();
        }
    }

    private static long duration(ProcessFault fault) {
        return switch (fault.kind()) {
            case RESTART -> SoakPlan.TERM_TO_KILL_MILLIS + 3 * RESTART_PAUSE_MILLIS;
            case KILL -> 3 * RESTART_PAUSE_MILLIS;
            case RELOAD -> 0;
        };
    }

    private static List<LoadGenerator.JobKind> kinds(DispatcherCluster cluster) {
        List<LoadGenerator.JobKind> kinds = new ArrayList<>();
        FleetPlan fleet = cluster.plan();
        fleet.classes
                .values()
                .forEach(
                        jobClass ->
                                fleet.tenants.forEach(
                                        (tenant, rate) ->
                                                kinds.add(
                                                        new LoadGenerator.JobKind(
                                                                jobClass.name(),
                                                                tenant,
                                                                rate,
                                                                SoakPlan.DEADLINE_MILLIS * 1000,
                                                                jobClass.repeatable()))));
        return kinds;
    }

    // ---- Signals.

    private Void inject(DispatcherCluster cluster, LoadGenerator load, ProcessFault fault)
            throws IOException, InterruptedException {
        // A restart may take longer than planned on a busy machine.
        synchronized (dispatcherLocks.get(fault.dispatcher())) {
            injectLocked(cluster, load, fault);
        }
        return null;
    }

    private void injectLocked(DispatcherCluster cluster, LoadGenerator load, ProcessFault fault)
            throws IOException, InterruptedException {
        String name = cluster.names().get(fault.dispatcher());
        if (!cluster.cluster().process(name).alive()) {
            recordNotInjected(fault + ": its process had ended");
            return;
        }
        int before = cluster.cluster().history().size();
        switch (fault.kind()) {
            case RESTART -> {
                restart(cluster, load, fault.dispatcher());
                requireEvent(cluster, fault, before, "daemon.stopping");
            }
            case KILL -> {
                recordKill(name, cluster.cluster().history().nowMicros());
                cluster.cluster().process(name).kill();
                restartProcess(cluster, name);
            }
            case RELOAD -> {
                changeConfiguration(cluster, fault.dispatcher());
                cluster.cluster().process(name).hangUp();
                requireEvent(cluster, fault, before, "configuration.read-again");
            }
        }
    }

    /**
     * Waits for the event that shows that the signal was handled. A signal that is ignored counts
     * as a fault that could not be injected.
     */
    private void requireEvent(DispatcherCluster cluster, ProcessFault fault, int from, String event)
            throws InterruptedException {
        String name = cluster.names().get(fault.dispatcher());
        try {
            cluster.cluster().process(name).await(event, from, RESPONSE_TIMEOUT_MILLIS);
        } catch (IllegalStateException e) {
            recordNotInjected(fault + ": not heard");
        }
    }

    private void requireConnected(IdleClients idle) throws InterruptedException {
        long wanted = (long) plan.idleClients() * plan.dispatchers();
        long connected = idle.awaitConnected(wanted, RESPONSE_TIMEOUT_MILLIS);
        if (connected < wanted) {
            recordNotInjected("idle clients: " + connected + " of " + wanted + " connected");
        }
    }

    private synchronized void recordNotInjected(String what) {
        notInjected.add(what);
    }

    private synchronized void recordKill(String name, long micros) {
        kills.add(new Kill(name, micros));
    }

    /**
     * Sends SIGTERM, and kills the process at the protocol's earliest time if it has not exited by
     * then.
     */
    private static void restart(DispatcherCluster cluster, LoadGenerator load, int dispatcher)
            throws IOException, InterruptedException {
        String name = cluster.names().get(dispatcher);
        cluster.cluster().process(name).terminate();
        TimeUnit.MILLISECONDS.sleep(FRONT_END_UPDATE_MILLIS);
        load.setAdmitted(dispatcher, false);
        TimeUnit.MILLISECONDS.sleep(SoakPlan.TERM_TO_KILL_MILLIS - FRONT_END_UPDATE_MILLIS);
        cluster.cluster().process(name).kill();
        restartProcess(cluster, name);
        load.setAdmitted(dispatcher, true);
    }

    private static void restartProcess(DispatcherCluster cluster, String name)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(RESTART_PAUSE_MILLIS);
        cluster.cluster().start(name);
        cluster.awaitReady(name, READY_TIMEOUT_MILLIS);
    }

    /** Changes the aim of each class, on which no rule depends. */
    private static void changeConfiguration(DispatcherCluster cluster, int dispatcher)
            throws IOException {
        Path file = cluster.fleet().configurationOf(dispatcher);
        JsonObject configuration = Json.parse(Files.readString(file)).asObject();
        configuration
                .get("settings")
                .asObject()
                .get("classes")
                .asArray()
                .forEach(
                        jobClass -> {
                            long aim = jobClass.asObject().getLong("onTimeNs", 0);
                            jobClass.asObject().set("onTimeNs", aim + 1_000_000);
                        });
        Files.writeString(file, configuration.toString());
    }

    // ---- Verdict.

    private static long contradictedEnds(DispatcherCluster cluster) {
        return cluster.cluster().history().all().stream()
                .filter(event -> event.kind().equals("attempt.reported-after-end"))
                .count();
    }

    private SoakResult judge(long contradicted) throws IOException {
        RuleChecker.Verdict verdict =
                RuleChecker.judge(folder, limits.slackMicros(), limits.lateMicros());
        List<Line> clients = LedgerReader.read(folder.resolve("clients.ledger"));
        List<String> excused =
                clients.stream().filter(this::wasBrokenByKill).map(Line::id).toList();
        List<RuleChecker.Violation> violations =
                verdict.violations.stream()
                        .filter(
                                violation ->
                                        violation.rule() != RuleChecker.Rule.ONE_ANSWER
                                                || !excused.contains(violation.id()))
                        .toList();
        long served =
                clients.stream()
                        .filter(line -> line.event().equals("answer"))
                        .filter(line -> line.number("status") == 200)
                        .count();
        return new SoakResult(
                plan,
                verdict.requests,
                served,
                verdict.attempts,
                exchangeFaults.counts(),
                List.copyOf(notInjected),
                contradicted,
                violations);
    }

    /** Whether the request's connection broke because its dispatcher was killed without notice. */
    private boolean wasBrokenByKill(Line line) {
        return line.event().startsWith("broken")
                && kills.stream()
                        .anyMatch(
                                kill ->
                                        kill.dispatcher().equals(line.value("via"))
                                                && Math.abs(kill.micros() - line.micros())
                                                        < limits.killMicros());
    }
}

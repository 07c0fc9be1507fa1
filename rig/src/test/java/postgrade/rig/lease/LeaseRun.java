package postgrade.rig.lease;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import postgrade.rig.history.History;
import postgrade.rig.process.JavaProcess;

/**
 * Runs a cluster with active holders, probes that show whether grants are made, and injected
 * faults.
 */
final class LeaseRun implements Closeable {

    enum Fault {
        KILL_LEADER,
        STOP_LEADER,
        CUT_LEADER,
        MUTE_LEADER,
        KILL_VOTER,
        WIPE_VOTER,
        STOP_OBSERVER,
        CUT_OBSERVER
    }

    static final int ACCELERATORS = 6;
    private static final int PROBE_WORKERS = 6;
    private static final int PROBE_INTERVAL_MILLIS = 40;
    private static final int PROBE_TIMEOUT_MILLIS = 200;

    final LeaseCluster cluster;
    final LeaseCalls calls;
    final History history;
    private final boolean queues;
    private final SplittableRandom random;
    private final List<LeaseHolder> holders = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final ScheduledExecutorService probeScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private long probeCount;
    int faults;

    /**
     * Number of holders that stopped because a call was not decided within a minute. That call may
     * still take effect later and is not judged.
     */
    int holdersWithUndecidedCall;

    /** Time from each death of a leader to the first grant that was requested after it. */
    final List<Long> grantGapsMicros = new ArrayList<>();

    LeaseRun(Path folder, long seed, boolean queues, String... properties) throws IOException {
        history = new History(folder.resolve("history.jsonl"));
        cluster = new LeaseCluster(folder, history, properties);
        calls = new LeaseCalls(cluster);
        random = new SplittableRandom(seed);
        this.queues = queues;
    }

    void start(int holderCount) throws Exception {
        cluster.start();
        registerUnit(LeaseNode.WORKER, "z", "box", ACCELERATORS);
        for (int i = 0; i < PROBE_WORKERS; i++) {
            registerUnit(LeaseNode.PROBE_PREFIX + i, "q", "probe", 62);
        }
        probeScheduler.scheduleAtFixedRate(
                () -> {
                    long n = ++probeCount;
                    cluster.send(
                            LeaseCluster.OBSERVERS.get((int) (n % 2)),
                            LeaseNode.PROBE_PREFIX + LeaseCalls.monotonicMicros(),
                            PROBE_TIMEOUT_MILLIS,
                            "acquire holder="
                                    + LeaseNode.PROBE_PREFIX
                                    + n
                                    + " kind=probe accelerators=1 ttlMs=2000 wait=0");
                },
                0,
                PROBE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        for (int i = 0; i < holderCount; i++) {
            LeaseHolder holder =
                    new LeaseHolder(calls, "h" + i, 1 + i % 3, queues, random.nextLong());
            holders.add(holder);
            Thread thread = new Thread(holder, "holder " + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void registerUnit(String worker, String site, String kind, int accelerators)
            throws InterruptedException {
        String id = cluster.freshId();
        int from = history.size();
        cluster.send(
                "x",
                id,
                10_000,
                "unit worker="
                        + worker
                        + " site="
                        + site
                        + " kind="
                        + kind
                        + " accelerators="
                        + accelerators
                        + " version=1");
        history.await(
                "unit " + worker,
                from,
                12_000,
                e ->
                        e.kind().equals("reply")
                                && e.text("id").equals(id)
                                && e.text("status").equals("DONE"));
    }

    Fault pickAnyFault() {
        return pickFault(Fault.values());
    }

    Fault pickFault(Fault... candidates) {
        return candidates[random.nextInt(candidates.length)];
    }

    /** Injects a fault and waits until all voters vote again under one leader. */
    void inject(Fault fault) throws Exception {
        cluster.awaitStableLeader();
        String leader = cluster.leader();
        if (leader == null) {
            return;
        }
        String voter = LeaseCluster.VOTERS.get(random.nextInt(3));
        String observer = LeaseCluster.OBSERVERS.get(random.nextInt(2));
        int startIndex = history.size();
        long injectedMicros = LeaseCalls.monotonicMicros();
        history.add(
                "rig",
                "fault",
                new com.eclipsesource.json.JsonObject()
                        .add("what", fault.name())
                        .add("at", injectedMicros)
                        .add("leader", leader));
        switch (fault) {
            case KILL_LEADER -> killAndRestart(leader, false);
            case KILL_VOTER -> killAndRestart(voter, false);
            case WIPE_VOTER -> killAndRestart(voter, true);
            case STOP_LEADER -> pauseAndResume(leader);
            case STOP_OBSERVER -> pauseAndResume(observer);
            case CUT_LEADER -> partitionAndHeal(() -> cluster.mesh.isolate(Set.of(leader)));
            case MUTE_LEADER -> partitionAndHeal(() -> cluster.mesh.blockOutgoing(Set.of(leader)));
            default -> partitionAndHeal(() -> cluster.mesh.isolate(Set.of(observer)));
        }
        if (fault == Fault.KILL_LEADER || fault == Fault.KILL_VOTER && voter.equals(leader)) {
            History.Event e =
                    history.await(
                            "a grant after the leader's death",
                            startIndex,
                            60_000,
                            r -> granted(r) && sentMicros(r) > injectedMicros);
            grantGapsMicros.add(e.number("at") - injectedMicros);
        }
        cluster.awaitStableLeader();
        faults++;
    }

    static boolean granted(History.Event e) {
        return e.kind().equals("reply")
                && e.text("id").startsWith(LeaseNode.PROBE_PREFIX)
                && e.text("status").equals("DONE");
    }

    private static long sentMicros(History.Event e) {
        return Long.parseLong(e.text("id").substring(LeaseNode.PROBE_PREFIX.length()));
    }

    private void killAndRestart(String name, boolean wipeStore) throws Exception {
        cluster.processes.get(name).kill();
        if (wipeStore) {
            cluster.wipe(name);
        }
        Thread.sleep(random.nextLong(50, 800));
        cluster.start(name);
    }

    private void pauseAndResume(String name) throws Exception {
        JavaProcess process = cluster.processes.get(name);
        process.stop();
        Thread.sleep(random.nextLong(200, 3000));
        process.resume();
    }

    private void partitionAndHeal(Runnable partition) throws InterruptedException {
        partition.run();
        Thread.sleep(random.nextLong(200, 3000));
        cluster.mesh.heal();
    }

    /** Stops the holders, waits until their grants have expired, and judges the history. */
    LeaseVerdict verdict(long settleMillis) throws InterruptedException {
        holders.forEach(h -> h.stopped = true);
        for (Thread t : threads) {
            t.join(70_000);
        }
        Thread.sleep(settleMillis);
        probeScheduler.shutdownNow();
        holdersWithUndecidedCall = (int) holders.stream().filter(h -> h.failure != null).count();
        List<History.Event> events = history.all();
        return new LeaseVerdict(
                events,
                List.copyOf(calls.calls),
                events.stream().filter(LeaseRun::granted).map(e -> e.number("at")).toList(),
                ACCELERATORS,
                !queues);
    }

    @Override
    public void close() throws IOException {
        holders.forEach(h -> h.stopped = true);
        probeScheduler.shutdownNow();
        cluster.close();
        history.close();
    }
}

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
 * A cluster with holders at work and probes that show whether grants are made, and the faults
 * between them.
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
    private static final int PROBE_UNITS = 6;
    private static final int PROBE_MILLIS = 40;
    private static final int PROBE_WITHIN_MILLIS = 200;

    final LeaseCluster cluster;
    final LeaseCalls calls;
    final History history;
    private final boolean waits;
    private final SplittableRandom random;
    private final List<LeaseHolder> holders = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final ScheduledExecutorService prober = Executors.newSingleThreadScheduledExecutor();
    private long probes;
    int faults;

    /**
     * Holders whose call nobody decided for a minute: their last call may come later and is not
     * judged.
     */
    int gaveUp;

    /** From each death of a leader to the first grant that was asked for after it. */
    final List<Long> withoutGrantsMicros = new ArrayList<>();

    LeaseRun(Path folder, long seed, boolean waits, String... properties) throws IOException {
        history = new History(folder.resolve("history.jsonl"));
        cluster = new LeaseCluster(folder, history, properties);
        calls = new LeaseCalls(cluster);
        random = new SplittableRandom(seed);
        this.waits = waits;
    }

    void begin(int count) throws Exception {
        cluster.begin();
        unit(LeaseNode.WORKER, "z", "box", ACCELERATORS);
        for (int i = 0; i < PROBE_UNITS; i++) {
            unit(LeaseNode.PROBE + i, "q", "probe", 62);
        }
        prober.scheduleAtFixedRate(
                () -> {
                    long n = ++probes;
                    cluster.ask(
                            LeaseCluster.OBSERVERS.get((int) (n % 2)),
                            LeaseNode.PROBE + LeaseCalls.stamp(),
                            PROBE_WITHIN_MILLIS,
                            "acquire holder="
                                    + LeaseNode.PROBE
                                    + n
                                    + " kind=probe accelerators=1 ttlMs=2000 wait=0");
                },
                0,
                PROBE_MILLIS,
                TimeUnit.MILLISECONDS);
        for (int i = 0; i < count; i++) {
            LeaseHolder h = new LeaseHolder(calls, "h" + i, 1 + i % 3, waits, random.nextLong());
            holders.add(h);
            Thread t = new Thread(h, "holder " + i);
            t.setDaemon(true);
            t.start();
            threads.add(t);
        }
    }

    private void unit(String worker, String site, String kind, int accelerators)
            throws InterruptedException {
        String id = cluster.freshId();
        int from = history.size();
        cluster.ask(
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

    Fault anyFault() {
        return any(Fault.values());
    }

    Fault any(Fault... of) {
        return of[random.nextInt(of.length)];
    }

    /** Puts a fault and waits until all voters vote again under one leader. */
    void fault(Fault f) throws Exception {
        cluster.awaitWell();
        String leader = cluster.leader();
        if (leader == null) {
            return;
        }
        String voter = LeaseCluster.VOTERS.get(random.nextInt(3));
        String observer = LeaseCluster.OBSERVERS.get(random.nextInt(2));
        int from = history.size();
        long at = LeaseCalls.stamp();
        history.add(
                "rig",
                "fault",
                new com.eclipsesource.json.JsonObject()
                        .add("what", f.name())
                        .add("at", at)
                        .add("leader", leader));
        switch (f) {
            case KILL_LEADER -> killed(leader, false);
            case KILL_VOTER -> killed(voter, false);
            case WIPE_VOTER -> killed(voter, true);
            case STOP_LEADER -> stopped(leader);
            case STOP_OBSERVER -> stopped(observer);
            case CUT_LEADER -> cut(() -> cluster.mesh.isolate(Set.of(leader)));
            case MUTE_LEADER -> cut(() -> cluster.mesh.blockOutgoing(Set.of(leader)));
            default -> cut(() -> cluster.mesh.isolate(Set.of(observer)));
        }
        if (f == Fault.KILL_LEADER || f == Fault.KILL_VOTER && voter.equals(leader)) {
            History.Event e =
                    history.await(
                            "a grant after the leader's death",
                            from,
                            60_000,
                            r -> granted(r) && asked(r) > at);
            withoutGrantsMicros.add(e.number("at") - at);
        }
        cluster.awaitWell();
        faults++;
    }

    static boolean granted(History.Event e) {
        return e.kind().equals("reply")
                && e.text("id").startsWith(LeaseNode.PROBE)
                && e.text("status").equals("DONE");
    }

    private static long asked(History.Event e) {
        return Long.parseLong(e.text("id").substring(LeaseNode.PROBE.length()));
    }

    private void killed(String name, boolean wiped) throws Exception {
        cluster.programs.get(name).kill();
        if (wiped) {
            cluster.wipe(name);
        }
        Thread.sleep(random.nextLong(50, 800));
        cluster.start(name);
    }

    private void stopped(String name) throws Exception {
        JavaProcess p = cluster.programs.get(name);
        p.stop();
        Thread.sleep(random.nextLong(200, 3000));
        p.resume();
    }

    private void cut(Runnable how) throws InterruptedException {
        how.run();
        Thread.sleep(random.nextLong(200, 3000));
        cluster.mesh.heal();
    }

    /** Ends the holders in order, waits until all that they had has ended, and judges. */
    LeaseVerdict verdict(long quietMillis) throws InterruptedException {
        holders.forEach(h -> h.over = true);
        for (Thread t : threads) {
            t.join(70_000);
        }
        Thread.sleep(quietMillis);
        prober.shutdownNow();
        gaveUp = (int) holders.stream().filter(h -> h.failure != null).count();
        List<History.Event> all = history.all();
        return new LeaseVerdict(
                all,
                List.copyOf(calls.calls),
                all.stream().filter(LeaseRun::granted).map(e -> e.number("at")).toList(),
                ACCELERATORS,
                !waits);
    }

    @Override
    public void close() throws IOException {
        holders.forEach(h -> h.over = true);
        prober.shutdownNow();
        cluster.close();
        history.close();
    }
}

package postgrade.sharing.snapshot;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.extension.Host;
import postgrade.log.Events;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.recovery.LearntSnapshot;

/**
 * Keeps what this process learns, and tells the module at its start what a former one had learnt.
 * The loop makes an immutable copy now and then; one thread writes it. While that thread waits for
 * a slow disk, copies are passed over.
 */
public final class SnapshotStore {

    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);

    /** Workers out stand among the figures under this word; the module never sees it. */
    private static final String OUT_OF_SERVICE = "out";

    private static final String WORKER = "worker";
    private static final String SLOW_START = "cold";

    /**
     * That its sends to cold workers are all there: told by the last word alone, as what follows
     * any other is lost by a crash.
     */
    private static final String USAGE_COMPLETE_FOR = "up";

    private static final long FINAL_WRITE_TIMEOUT_MILLIS = 300;

    private final Host host;
    private final SnapshotFile file;
    private final long intervalMicros;
    private final DoubleSupplier servedShare;
    private final Supplier<Set<String>> outOfService;
    private final BlockingQueue<LearntSnapshot> writeQueue = new ArrayBlockingQueue<>(1);
    private final Thread writer = new Thread(null, this::write, "memory");
    private volatile boolean writePending;
    private volatile boolean closed;
    private volatile String fault;
    private long nextWriteMicros;

    /** What was kept of workers, until the list tells which of them are the same still. */
    private LearntSnapshot pendingWorkerEntries;

    /**
     * @param served worth in time of late, as a part of what was asked for; NaN where not known
     */
    public SnapshotStore(
            Host host,
            SnapshotFile file,
            long intervalMicros,
            DoubleSupplier servedShare,
            Supplier<Set<String>> outOfService) {
        this.host = host;
        this.file = file;
        this.intervalMicros = intervalMicros;
        this.servedShare = servedShare;
        this.outOfService = outOfService;
        nextWriteMicros = host.timers().nowMicros() + intervalMicros;
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * What a former process had learnt, or null. The module is told what may be trusted, unless it
     * knows better.
     */
    public LearntSnapshot load() {
        LearntSnapshot snapshot = file.read(unixMicros());
        if (snapshot == null || host.startedByHandOver()) {
            return null;
        }
        boolean cleanShutdown =
                snapshot.entries().stream()
                        .anyMatch(entry -> entry.learnt().category().equals(USAGE_COMPLETE_FOR));
        if (cleanShutdown && !removeUsageComplete(snapshot)) {
            snapshot = withEntries(snapshot, withoutUsageComplete(snapshot));
        }
        List<LearntSnapshot.Entry> importableNow = new ArrayList<>();
        List<LearntSnapshot.Entry> workerEntries = new ArrayList<>();
        for (LearntSnapshot.Entry entry : snapshot.entries()) {
            // That the sends are all there counts no sooner than the sends.
            (isWorkerEntry(entry.learnt()) || entry.learnt().category().equals(USAGE_COMPLETE_FOR)
                            ? workerEntries
                            : importableNow)
                    .add(entry);
        }
        host.importPolicyState(
                withEntries(snapshot, importableNow).trustedEntries(unixMicros(), Map.of()));
        pendingWorkerEntries =
                workerEntries.isEmpty() ? null : withEntries(snapshot, workerEntries);
        Events.info(LOG, "memory.read")
                .addKeyValue("figures", snapshot.entries().size())
                .addKeyValue("age_ms", snapshot.ageMicros(unixMicros()) / 1000)
                .log(
                        "going by what was learnt "
                                + snapshot.ageMicros(unixMicros()) / 1000
                                + " ms ago, "
                                + snapshot.entries().size()
                                + " figures");
        return snapshot;
    }

    private static List<LearntSnapshot.Entry> withoutUsageComplete(LearntSnapshot snapshot) {
        return snapshot.entries().stream()
                .filter(f -> !f.learnt().category().equals(USAGE_COMPLETE_FOR))
                .toList();
    }

    /**
     * Guards the next process: this one may die before it has written, and what it sends till then
     * is in no file.
     */
    private boolean removeUsageComplete(LearntSnapshot snapshot) {
        try {
            file.write(withEntries(snapshot, withoutUsageComplete(snapshot)));
            return true;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Workers that were out. */
    public static Set<String> outOfService(LearntSnapshot snapshot) {
        Set<String> workers = new HashSet<>();
        snapshot.entries().stream()
                .filter(f -> f.learnt().category().equals(OUT_OF_SERVICE))
                .forEach(f -> workers.add(f.learnt().name()));
        return workers;
    }

    private static boolean isWorkerEntry(PolicyStateEntry entry) {
        return entry.category().equals(WORKER) || entry.category().equals(SLOW_START);
    }

    private static LearntSnapshot withEntries(
            LearntSnapshot snapshot, List<LearntSnapshot.Entry> entries) {
        return new LearntSnapshot(
                snapshot.dispatcher(), snapshot.savedMicros(), snapshot.servedShare(), entries);
    }

    /**
     * Discovery has told of the workers: the module hears what was learnt of those that have not
     * started since.
     */
    public void workerListChanged() {
        if (pendingWorkerEntries != null && !host.workers().isEmpty()) {
            host.importPolicyState(
                    pendingWorkerEntries.trustedEntries(unixMicros(), startedMillisByWorker()));
            pendingWorkerEntries = null;
        }
    }

    private Map<String, Long> startedMillisByWorker() {
        Map<String, Long> started = new HashMap<>();
        host.workers().forEach(w -> started.put(w.id(), w.startedMillis()));
        return started;
    }

    private long unixMicros() {
        return host.unixMillis().getAsLong() * 1000;
    }

    /** Called again and again. */
    public void tick() {
        long now = host.timers().nowMicros();
        if (now >= nextWriteMicros) {
            nextWriteMicros = now + intervalMicros;
            if (!writePending) {
                writePending = true;
                LearntSnapshot copy = capture();
                writeQueue.offer(withEntries(copy, withoutUsageComplete(copy)));
            }
        }
    }

    private LearntSnapshot capture() {
        LearntSnapshot learnt =
                LearntSnapshot.capture(
                        host.name(),
                        unixMicros(),
                        servedShare.getAsDouble(),
                        host.exportPolicyState(),
                        startedMillisByWorker());
        List<LearntSnapshot.Entry> entries = new ArrayList<>();
        // First, so that no bound cuts them off.
        outOfService
                .get()
                .forEach(
                        w ->
                                entries.add(
                                        new LearntSnapshot.Entry(
                                                new PolicyStateEntry(
                                                        OUT_OF_SERVICE, w, new double[] {0}),
                                                0)));
        entries.addAll(learnt.entries());
        return withEntries(learnt, entries);
    }

    private void write() {
        try {
            while (!closed) {
                LearntSnapshot next = writeQueue.poll(1, TimeUnit.SECONDS);
                if (next != null) {
                    write(next);
                    writePending = false;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(LearntSnapshot snapshot) {
        String reason = null;
        try {
            file.write(snapshot);
        } catch (IOException | RuntimeException e) {
            reason = e.toString();
        }
        if (reason != null && fault == null) {
            Events.warn(LOG, "memory.not-written")
                    .addKeyValue("why", reason)
                    .log(
                            "what was learnt cannot be kept in "
                                    + file.path()
                                    + " ("
                                    + reason
                                    + "); trying again");
        } else if (reason == null && fault != null) {
            Events.info(LOG, "memory.written").log("what was learnt is kept again");
        }
        fault = reason;
    }

    /** Why it cannot be kept, or null. */
    public String fault() {
        return fault;
    }

    /**
     * The last word, at the end of the process. Waits a little for it, as nobody is served any
     * more.
     */
    public void close() {
        if (!writePending) {
            writePending = true;
            writeQueue.offer(capture());
        }
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINAL_WRITE_TIMEOUT_MILLIS);
        while (writePending && System.nanoTime() < deadlineNanos) {
            try {
                TimeUnit.MILLISECONDS.sleep(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        closed = true;
    }
}

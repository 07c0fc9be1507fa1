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
 * Saves what this process learns, and imports what a former process had learnt into the policy at
 * the start. The event loop makes an immutable copy periodically, and one thread writes it. While
 * that thread waits for a slow disk, further copies are skipped.
 */
public final class SnapshotStore {

    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);

    /**
     * Category of the entries for workers in maintenance; these are not imported into the policy.
     */
    private static final String OUT_OF_SERVICE = "out";

    private static final String WORKER = "worker";
    private static final String SLOW_START = "cold";

    /**
     * Category of the entry that says that the record of work sent to workers in slow start is
     * complete. Only the snapshot at the end of a process contains it: what is sent after any other
     * snapshot is lost in a crash.
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

    /** The entries for workers, until discovery reports which workers have not restarted since. */
    private LearntSnapshot pendingWorkerEntries;

    /**
     * Starts the thread that writes snapshots.
     *
     * @param servedShare the recent share of the requested worth that was served within its
     *     objective; NaN if unknown
     * @param outOfService the workers in maintenance
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
     * Loads the snapshot of a former process and imports into the policy what can be trusted of it.
     * Returns null if there is none, or if this process has received newer state by hand-over.
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
            // The completeness entry must not take effect before the entries that it is about.
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
                        "using what was learnt "
                                + snapshot.ageMicros(unixMicros()) / 1000
                                + " ms ago, "
                                + snapshot.entries().size()
                                + " figures");
        return snapshot;
    }

    private static List<LearntSnapshot.Entry> withoutUsageComplete(LearntSnapshot snapshot) {
        return snapshot.entries().stream()
                .filter(entry -> !entry.learnt().category().equals(USAGE_COMPLETE_FOR))
                .toList();
    }

    /**
     * Rewrites the snapshot without the completeness entry. This process may die before its first
     * write, and what it sends until then would be missing from the snapshot that the next process
     * loads.
     */
    private boolean removeUsageComplete(LearntSnapshot snapshot) {
        try {
            file.write(withEntries(snapshot, withoutUsageComplete(snapshot)));
            return true;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Returns the workers that were in maintenance when the snapshot was written. */
    public static Set<String> outOfService(LearntSnapshot snapshot) {
        Set<String> workers = new HashSet<>();
        snapshot.entries().stream()
                .filter(entry -> entry.learnt().category().equals(OUT_OF_SERVICE))
                .forEach(entry -> workers.add(entry.learnt().name()));
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
     * Imports the entries for workers that have not restarted since, once discovery has reported
     * the workers.
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

    /** Writes a snapshot if that is due. Called periodically. */
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
        // Workers in maintenance go first, so that a limit on the number of entries never cuts them
        // off.
        outOfService
                .get()
                .forEach(
                        worker ->
                                entries.add(
                                        new LearntSnapshot.Entry(
                                                new PolicyStateEntry(
                                                        OUT_OF_SERVICE, worker, new double[] {0}),
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
                            "cannot write what was learnt to "
                                    + file.path()
                                    + " ("
                                    + reason
                                    + "); trying again");
        } else if (reason == null && fault != null) {
            Events.info(LOG, "memory.written").log("what was learnt can be written again");
        }
        fault = reason;
    }

    /** Returns why the last snapshot could not be written, or null. */
    public String fault() {
        return fault;
    }

    /**
     * Writes the final snapshot at the end of the process. Waits briefly for the write, since no
     * client is served any more.
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

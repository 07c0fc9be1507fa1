package postgrade.sharing.memory;

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
public final class Keeper {

    private static final Logger LOG = LoggerFactory.getLogger(Keeper.class);

    /** Workers out stand among the figures under this word; the module never sees it. */
    private static final String OUT = "out";

    private static final String WORKER = "worker";
    private static final String COLD = "cold";

    /**
     * That its sends to cold workers are all there: told by the last word alone, as what follows
     * any other is lost by a crash.
     */
    private static final String UP = "up";

    private static final long LAST_WRITE_MILLIS = 300;

    private final Host host;
    private final MemoryFile file;
    private final long everyMicros;
    private final DoubleSupplier served;
    private final Supplier<Set<String>> out;
    private final BlockingQueue<LearntSnapshot> toWrite = new ArrayBlockingQueue<>(1);
    private final Thread writer = new Thread(null, this::write, "memory");
    private volatile boolean busy;
    private volatile boolean closed;
    private volatile String fault;
    private long dueMicros;

    /** What was kept of workers, until the list tells which of them are the same still. */
    private LearntSnapshot ofWorkers;

    /**
     * @param served worth in time of late, as a part of what was asked for; NaN where not known
     */
    public Keeper(
            Host host,
            MemoryFile file,
            long everyMicros,
            DoubleSupplier served,
            Supplier<Set<String>> out) {
        this.host = host;
        this.file = file;
        this.everyMicros = everyMicros;
        this.served = served;
        this.out = out;
        dueMicros = host.timers().nowMicros() + everyMicros;
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * What a former process had learnt, or null. The module is told what may be trusted, unless it
     * knows better.
     */
    public LearntSnapshot recall() {
        LearntSnapshot memory = file.read(unixMicros());
        if (memory == null || host.startedByHandOver()) {
            return null;
        }
        boolean ended = memory.entries().stream().anyMatch(f -> f.learnt().category().equals(UP));
        if (ended && !unmark(memory)) {
            memory = with(memory, unmarked(memory));
        }
        List<LearntSnapshot.Entry> others = new ArrayList<>();
        List<LearntSnapshot.Entry> workers = new ArrayList<>();
        for (LearntSnapshot.Entry f : memory.entries()) {
            // That the sends are all there counts no sooner than the sends.
            (ofWorker(f.learnt()) || f.learnt().category().equals(UP) ? workers : others).add(f);
        }
        host.importPolicyState(with(memory, others).trustedEntries(unixMicros(), Map.of()));
        ofWorkers = workers.isEmpty() ? null : with(memory, workers);
        Events.info(LOG, "memory.read")
                .addKeyValue("figures", memory.entries().size())
                .addKeyValue("age_ms", memory.ageMicros(unixMicros()) / 1000)
                .log(
                        "going by what was learnt "
                                + memory.ageMicros(unixMicros()) / 1000
                                + " ms ago, "
                                + memory.entries().size()
                                + " figures");
        return memory;
    }

    private static List<LearntSnapshot.Entry> unmarked(LearntSnapshot m) {
        return m.entries().stream().filter(f -> !f.learnt().category().equals(UP)).toList();
    }

    /**
     * Guards the next process: this one may die before it has written, and what it sends till then
     * is in no file.
     */
    private boolean unmark(LearntSnapshot memory) {
        try {
            file.write(with(memory, unmarked(memory)));
            return true;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Workers that were out. */
    public static Set<String> out(LearntSnapshot memory) {
        Set<String> all = new HashSet<>();
        memory.entries().stream()
                .filter(f -> f.learnt().category().equals(OUT))
                .forEach(f -> all.add(f.learnt().name()));
        return all;
    }

    private static boolean ofWorker(PolicyStateEntry l) {
        return l.category().equals(WORKER) || l.category().equals(COLD);
    }

    private static LearntSnapshot with(LearntSnapshot m, List<LearntSnapshot.Entry> figures) {
        return new LearntSnapshot(m.dispatcher(), m.savedMicros(), m.servedShare(), figures);
    }

    /**
     * Discovery has told of the workers: the module hears what was learnt of those that have not
     * started since.
     */
    public void listed() {
        if (ofWorkers != null && !host.workers().isEmpty()) {
            host.importPolicyState(ofWorkers.trustedEntries(unixMicros(), started()));
            ofWorkers = null;
        }
    }

    private Map<String, Long> started() {
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
        if (now >= dueMicros) {
            dueMicros = now + everyMicros;
            if (!busy) {
                busy = true;
                LearntSnapshot copy = now();
                toWrite.offer(with(copy, unmarked(copy)));
            }
        }
    }

    private LearntSnapshot now() {
        LearntSnapshot m =
                LearntSnapshot.capture(
                        host.name(),
                        unixMicros(),
                        served.getAsDouble(),
                        host.exportPolicyState(),
                        started());
        List<LearntSnapshot.Entry> all = new ArrayList<>();
        // First, so that no bound cuts them off.
        out.get()
                .forEach(
                        w ->
                                all.add(
                                        new LearntSnapshot.Entry(
                                                new PolicyStateEntry(OUT, w, new double[] {0}),
                                                0)));
        all.addAll(m.entries());
        return with(m, all);
    }

    private void write() {
        try {
            while (!closed) {
                LearntSnapshot next = toWrite.poll(1, TimeUnit.SECONDS);
                if (next != null) {
                    write(next);
                    busy = false;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(LearntSnapshot memory) {
        String why = null;
        try {
            file.write(memory);
        } catch (IOException | RuntimeException e) {
            why = e.toString();
        }
        if (why != null && fault == null) {
            Events.warn(LOG, "memory.not-written")
                    .addKeyValue("why", why)
                    .log(
                            "what was learnt cannot be kept in "
                                    + file.path()
                                    + " ("
                                    + why
                                    + "); trying again");
        } else if (why == null && fault != null) {
            Events.info(LOG, "memory.written").log("what was learnt is kept again");
        }
        fault = why;
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
        if (!busy) {
            busy = true;
            toWrite.offer(now());
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_WRITE_MILLIS);
        while (busy && System.nanoTime() < end) {
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

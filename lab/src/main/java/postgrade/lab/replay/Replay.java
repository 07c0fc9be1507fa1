package postgrade.lab.replay;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import postgrade.fleet.Clock;
import postgrade.fleet.Ledger;
import postgrade.fleet.check.LedgerReader;
import postgrade.lab.replay.Fates.Fate;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceReader;

/**
 * Sends a trace's jobs to dispatchers at their times: open loop, by a schedule that no answer
 * delays. What is to be sent of a class that must not run twice is in the ledger, and so out of a
 * crash's reach, before its first byte leaves; nothing is ever sent again by itself.
 */
public final class Replay {

    /**
     * So long before its time a job is planned, and its intent written; jobs of one step in one go.
     */
    private static final long AHEAD = 40_000;

    private static final long STEP = 10_000;
    private static final int MOST_PLANNED = 1 << 18;
    private static final Try END = new Try(null, 0, "", 0, false, 0);

    /** The last stretch before a time is waited out awake. */
    private static final long SPIN = 150;

    private static final long FLUSH_MS = 20;
    private static final long PROGRESS_EVERY = 1_000_000;
    private static final long LATE = 1_000;
    private static final long START_DELAY = 200_000;
    private static final int WARM_CONNECTIONS = 32;

    private final ReplayOptions o;
    private final ReplayResult result = new ReplayResult();
    private final Ledger ledger;
    private final Fates fates = new Fates();
    private final List<Clients> clients = new ArrayList<>();
    private final AtomicLong underWay = new AtomicLong();

    /** Of a replay cut off before: what had been meant to go out. */
    private final Set<String> meant = new HashSet<>();

    private long doneBefore;
    private int generation;

    private Replay(ReplayOptions options) throws IOException {
        o = options;
        Files.createDirectories(o.folder);
        Path file = o.folder.resolve("clients.ledger");
        if (o.resume) {
            readBefore(file);
        } else if (Files.exists(file) && Files.size(file) > 0) {
            throw new IllegalArgumentException(
                    o.folder + " holds a replay already; --resume goes on with it");
        }
        ledger = new Ledger(file);
    }

    /** Runs a replay to its end. */
    public static ReplayResult run(ReplayOptions options) throws IOException, InterruptedException {
        options.check();
        if (options.rehearsalSeconds > 0) {
            Rehearsal.run(options.rehearsalSeconds, options.loops);
        }
        return new Replay(options).run();
    }

    private void readBefore(Path file) throws IOException {
        if (!Files.exists(file)) {
            return;
        }
        Set<String> over = new HashSet<>();
        Set<String> dead = new HashSet<>();
        List<LedgerReader.Line> lines = LedgerReader.read(file);
        for (LedgerReader.Line l : lines) {
            String job = l.value("job");
            if (l.event().equals("began")) {
                generation++;
            } else if (job != null) {
                doneBefore =
                        Math.max(doneBefore, Long.parseLong(job.substring(0, job.indexOf('.'))));
                if (l.event().equals("intent")) {
                    meant.add(job);
                }
            }
            switch (l.event()) {
                case "answer", "unsent", "gave-up", "broken", "broken-idle" -> over.add(l.id());
                case "client-died" -> dead.add(l.id()); // By a death before the last one.
                default -> {}
            }
        }
        result.skippedOnResume =
                lines.stream()
                        .filter(l -> l.event().equals("intent") && !over.contains(l.id()))
                        .count();
        try (Ledger cut = new Ledger(file)) {
            // Their client died with them: nobody waits for an answer any more.
            for (LedgerReader.Line l : lines) {
                if ((l.event().equals("sent") || l.event().equals("intent"))
                        && !over.contains(l.id())
                        && dead.add(l.id())) {
                    cut.add(Clock.micros(), "client-died", l.id(), "client", "");
                }
            }
        }
    }

    private ReplayResult run() throws IOException, InterruptedException {
        NioEventLoopGroup group =
                new NioEventLoopGroup(o.loops + 1, new DefaultThreadFactory("clients", true));
        try (TraceReader trace = new TraceReader(o.trace)) {
            for (int i = 0; i < o.loops; i++) {
                clients.add(
                        new Clients(this, group.next(), Math.max(1, o.mostConnections / o.loops)));
            }
            ledger.add(
                    Clock.micros(),
                    "began",
                    "",
                    "client",
                    "trace=" + o.trace.getFileName() + " seed=" + o.seed + " speed=" + o.speed);
            group.next()
                    .scheduleAtFixedRate(ledger::flush, FLUSH_MS, FLUSH_MS, TimeUnit.MILLISECONDS);
            warm();
            trace.seek(o.fromMicros);
            schedule(trace);
            while (underWay.get() > 0) {
                TimeUnit.MILLISECONDS.sleep(5);
                progress(Clock.micros());
            }
            result.endMicros = Clock.micros();
            ledger.add(result.endMicros, "ended", "", "client", "");
        } finally {
            clients.forEach(Clients::close);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2000);
            ledger.close();
        }
        return result;
    }

    long lingerMicros() {
        return o.lingerMicros;
    }

    private void warm() {
        List<CompletableFuture<Void>> all = new ArrayList<>();
        int each = Math.max(1, Math.min(WARM_CONNECTIONS, o.mostConnections) / o.loops);
        for (Clients c : clients) {
            o.targets.forEach(t -> all.add(c.warm(t, each, o.warmRounds)));
        }
        CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).join();
    }

    // ---- The schedule.

    private volatile IOException planFailure;
    private long lastProgress;
    private long lastSent;
    private int next;

    private void schedule(TraceReader trace) throws IOException, InterruptedException {
        TraceJob job = trace.next();
        while (job != null && job.number() <= doneBefore) {
            if (meant.contains(job.number() + ".0") || o.neverTwice.contains(job.jobClass())) {
                fates.set(
                        stub(job), Fate.FAILED); // May have gone out: no retry of it is called for.
            }
            job = trace.next();
        }
        result.startMicros = Clock.micros() + START_DELAY;
        long origin = job == null ? 0 : o.resume && doneBefore > 0 ? job.atMicros() : o.fromMicros;
        BlockingQueue<Try> planned = new ArrayBlockingQueue<>(MOST_PLANNED);
        TraceJob first = job;
        Thread planner = new Thread(() -> plan(trace, first, origin, planned), "planner");
        planner.setDaemon(true);
        planner.start();
        for (Try t = planned.take(); t != END; t = planned.take()) {
            sleepUntil(t.intendedMicros);
            if (t.job.isRetry() && !fates.callsForRetry(t.job.firstTry(), t.copy, t.neverTwice)) {
                result.retriesNotCalledFor++;
                continue;
            }
            if (t.job.isRetry() && t.neverTwice) {
                intend(t);
                ledger.flush();
            }
            send(t);
        }
        if (planFailure != null) {
            throw planFailure;
        }
    }

    /**
     * Reads the trace ahead of the schedule, and writes down the intents of what must not be sent
     * twice. On a thread of its own, so that neither the trace's nor the ledger's file can hold the
     * schedule up.
     */
    private void plan(TraceReader trace, TraceJob first, long origin, BlockingQueue<Try> planned) {
        List<Try> batch = new ArrayList<>();
        try {
            TraceJob job = first;
            while (job != null
                    && job.atMicros() < o.toMicros
                    && due(job, origin) - result.startMicros <= o.mostMicros) {
                long until = due(job, origin) + STEP;
                sleep(due(job, origin) - AHEAD);
                batch.clear();
                while (job != null
                        && job.atMicros() < o.toMicros
                        && due(job, origin) < until
                        && due(job, origin) - result.startMicros <= o.mostMicros) {
                    expand(job, due(job, origin), batch);
                    job = trace.next();
                }
                boolean any = false;
                for (Try t : batch) {
                    if (t.neverTwice && !t.job.isRetry()) {
                        intend(t);
                        any = true;
                    }
                }
                if (any) {
                    ledger.flush(); // Guards against a death in between: a resume must know what
                    // may have left.
                }
                for (Try t : batch) {
                    planned.put(t);
                }
            }
        } catch (IOException e) {
            planFailure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            planned.add(END); // There is room: what is planned ahead is bounded by time.
        }
    }

    private static void sleep(long untilMicros) {
        for (long now = Clock.micros(); now < untilMicros; now = Clock.micros()) {
            LockSupport.parkNanos((untilMicros - now) * 1000);
        }
    }

    private void intend(Try t) {
        ledger.add(Clock.micros(), "intent", t.id, "client", t.detail());
    }

    private Try stub(TraceJob job) {
        return new Try(job, 0, "", 0, true, 0);
    }

    private long due(TraceJob job, long origin) {
        return result.startMicros + (long) ((job.atMicros() - origin) / o.speed);
    }

    /** As many tries as the mix makes of a job. The same ones for one seed. */
    private void expand(TraceJob job, long due, List<Try> to) {
        double factor = o.mix.getOrDefault(job.jobClass(), 1.0);
        // Copies follow their chain: a retry is made as often as its first try.
        long chain = job.isRetry() ? job.firstTry() : job.number();
        int copies = (int) factor + (mixed(o.seed * 31 + chain) < factor - (int) factor ? 1 : 0);
        boolean neverTwice = o.neverTwice.contains(job.jobClass());
        for (int copy = 0; copy < copies; copy++) {
            String id =
                    String.format(
                            Locale.ROOT,
                            "%016x",
                            scramble(
                                    o.seed * 1_000_003
                                            + job.number() * 64
                                            + copy
                                            + (neverTwice ? 0 : generation * 7_919_000_000_000L)));
            to.add(
                    new Try(
                            job,
                            copy,
                            id,
                            job.deadlineMicros() > 0 ? job.deadlineMicros() : o.deadlineMicros,
                            neverTwice,
                            due));
        }
    }

    static long scramble(long x) {
        long z = x + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private static double mixed(long x) {
        return (scramble(x) >>> 11) * 0x1.0p-53;
    }

    private void sleepUntil(long micros) {
        for (long now = Clock.micros(); now < micros; now = Clock.micros()) {
            progress(now);
            if (micros - now > SPIN) {
                LockSupport.parkNanos(Math.min(20_000_000, (micros - now - SPIN) * 1000));
            } else {
                Thread.onSpinWait();
            }
        }
        progress(Clock.micros());
    }

    private void progress(long now) {
        if (o.progress != null && now - lastProgress > PROGRESS_EVERY) {
            long sent = result.sent.sum();
            o.progress.accept(
                    String.format(
                            Locale.ROOT,
                            "%5.0f s  %7.1f/s  sent %d  served %d  refused %d  failed %d  under way %d",
                            (now - result.startMicros) / 1e6,
                            lastProgress == 0 ? 0 : (sent - lastSent) * 1e6 / (now - lastProgress),
                            sent,
                            result.served.sum(),
                            result.refused.sum(),
                            result.failed.sum() + result.gaveUp.sum() + result.broken.sum(),
                            underWay.get()));
            lastProgress = now;
            lastSent = sent;
        }
    }

    private void send(Try t) {
        underWay.incrementAndGet();
        fates.set(t, Fate.UNDER_WAY);
        int at = next++;
        clients.get(at % clients.size())
                .send(t, o.targets.get(at / clients.size() % o.targets.size()));
    }

    // ---- What the clients tell; on their loops.

    void left(Try t) {
        t.sentMicros = Clock.micros();
        long late = Math.max(0, t.sentMicros - t.intendedMicros);
        result.sent.increment();
        result.lateness.recordValue(Math.min(late, 3_600_000_000L));
        if (late > LATE) {
            result.late.increment();
        }
        ledger.add(t.sentMicros, "sent", t.id, "client", t.detail());
    }

    void answered(Try t, int status, String body, String retryAfter) {
        if (over(t)) {
            return;
        }
        long now = Clock.micros();
        ledger.add(
                now,
                "answer",
                t.id,
                "client",
                "status="
                        + status
                        + " result="
                        + (status == 200 ? body : "-")
                        + (retryAfter == null ? "" : " retry_after=" + retryAfter));
        if (status == 200) {
            result.served.increment();
            result.latency.recordValue(
                    Math.min(3_600_000_000L, Math.max(0, now - t.intendedMicros)));
        } else if (status == 429 || status == 503) {
            result.refused.increment();
        } else {
            result.failed.increment();
        }
        fates.set(
                t,
                status == 200
                        ? Fate.SERVED
                        : status == 429 || status == 503 ? Fate.REFUSED : Fate.FAILED);
        underWay.decrementAndGet();
    }

    void unsent(Try t, String why) {
        if (!over(t)) {
            ledger.add(
                    Clock.micros(),
                    "unsent",
                    t.id,
                    "client",
                    t.detail() + " why=" + why.replace(' ', '_'));
            result.unsent.increment();
            fates.set(t, Fate.UNSENT);
            underWay.decrementAndGet();
        }
    }

    /**
     * The connection ended without an answer. @param idle before the dispatcher can have read of it
     */
    void broken(Try t, boolean idle) {
        if (!over(t)) {
            ledger.add(Clock.micros(), idle ? "broken-idle" : "broken", t.id, "client", "");
            result.broken.increment();
            fates.set(t, Fate.FAILED);
            underWay.decrementAndGet();
        }
    }

    void gaveUp(Try t) {
        if (!over(t)) {
            ledger.add(Clock.micros(), "gave-up", t.id, "client", "");
            result.gaveUp.increment();
            fates.set(t, Fate.FAILED);
            underWay.decrementAndGet();
        }
    }

    private static boolean over(Try t) {
        boolean was = t.over;
        t.over = true;
        return was;
    }
}

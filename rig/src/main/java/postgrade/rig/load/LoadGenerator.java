package postgrade.rig.load;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import postgrade.fleet.Clock;
import postgrade.fleet.Ledger;

/**
 * Shops that send jobs at a steady rate to whichever dispatchers can be reached, and write down
 * what came of them in the clients' ledger. A refused connection passes a dispatcher over for a
 * while, as a front does; nothing is sent twice.
 */
public final class LoadGenerator implements Closeable {

    private static final long PASSED_OVER_MICROS = 500_000;

    /** An answer that comes late is worth knowing of; whoever judges tells late from never. */
    private static final long LINGER_MS = 20_000;

    private static final int WAIT_MS = 60_000;

    /**
     * @param weight among all kinds
     */
    public record JobKind(
            String jobClass,
            String tenant,
            double weight,
            long deadlineMicros,
            boolean repeatable) {}

    private final List<Target> targets = new ArrayList<>();
    private final List<JobKind> kinds;
    private final SplittableRandom random;
    private final Ledger ledger;
    private final ExecutorService senders = Executors.newCachedThreadPool(daemons("shop"));
    private final ScheduledExecutorService clock =
            Executors.newSingleThreadScheduledExecutor(daemons("shops' clock"));
    private final AtomicLong underWay = new AtomicLong();
    private final long seed;
    private long number;
    private double perSecond;
    private double owed;
    private long last;

    public LoadGenerator(
            List<InetSocketAddress> addresses, List<JobKind> kinds, long seed, Path ledger)
            throws IOException {
        for (int i = 0; i < addresses.size(); i++) {
            targets.add(new Target("n" + (i + 1), addresses.get(i)));
        }
        this.kinds = List.copyOf(kinds);
        this.seed = seed;
        random = new SplittableRandom(seed);
        this.ledger = new Ledger(ledger);
        last = Clock.micros();
        clock.scheduleAtFixedRate(this::turn, 2, 2, TimeUnit.MILLISECONDS);
        clock.scheduleAtFixedRate(this.ledger::flush, 50, 50, TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory daemons(String name) {
        return task -> {
            Thread t = new Thread(task, name);
            t.setDaemon(true);
            return t;
        };
    }

    public void setRate(double jobsPerSecond) {
        clock.execute(() -> perSecond = jobsPerSecond);
    }

    /**
     * Whether the front sends new connections to a dispatcher, as its readiness tells; open ones
     * are used on.
     *
     * @param dispatcher counted from 0
     */
    public void setAdmitted(int dispatcher, boolean now) {
        targets.get(dispatcher).admitted = now;
    }

    /** Sends so many jobs at once. */
    public void send(int jobs) throws InterruptedException, ExecutionException {
        clock.submit(
                        () -> {
                            for (int i = 0; i < jobs; i++) {
                                begin(Clock.micros());
                            }
                        })
                .get();
    }

    private void turn() {
        long now = Clock.micros();
        owed += perSecond * (now - last) / 1e6;
        last = now;
        for (; owed >= 1; owed--) {
            begin(now);
        }
    }

    private void begin(long now) {
        double pick = random.nextDouble() * kinds.stream().mapToDouble(JobKind::weight).sum();
        JobKind kind = kinds.get(kinds.size() - 1);
        for (JobKind k : kinds) {
            pick -= k.weight;
            if (pick < 0) {
                kind = k;
                break;
            }
        }
        number++;
        String id = String.format("%08x%08x", seed * 31 + 7, number);
        String detail =
                "job="
                        + number
                        + " class="
                        + kind.jobClass
                        + " tenant="
                        + kind.tenant
                        + " deadline="
                        + kind.deadlineMicros
                        + " intended="
                        + now
                        + " repeatable="
                        + kind.repeatable;
        int first = random.nextInt(targets.size());
        JobKind of = kind;
        underWay.incrementAndGet();
        senders.execute(
                () -> {
                    try {
                        send(id, of, detail, first);
                    } finally {
                        underWay.decrementAndGet();
                    }
                });
    }

    private void send(String id, JobKind kind, String detail, int first) {
        for (int i = 0; i < targets.size(); i++) {
            Target t = targets.get((first + i) % targets.size());
            if (Clock.micros() < t.passedOverUntil) {
                continue;
            }
            Target.Line line = t.line();
            if (line == null) {
                t.passedOverUntil = Clock.micros() + PASSED_OVER_MICROS;
                continue;
            }
            exchange(id, kind, detail, t, line);
            return;
        }
        ledger.add(Clock.micros(), "unsent", id, "client", detail + " why=nobody_listens");
    }

    private void exchange(String id, JobKind kind, String detail, Target t, Target.Line line) {
        long sent = 0;
        try {
            // Before its last byte leaves, as a death could come between.
            sent = Clock.micros();
            ledger.add(sent, "sent", id, "client", detail + " via=" + t.name);
            Target.Answer a =
                    line.exchange(
                            "POST /api/"
                                    + kind.jobClass
                                    + " HTTP/1.1\r\nHost: w\r\nX-Request-Id: "
                                    + id
                                    + "\r\nX-Class: "
                                    + kind.jobClass
                                    + "\r\nX-Tenant: "
                                    + kind.tenant
                                    + "\r\nX-Deadline: "
                                    + kind.deadlineMicros
                                    + "u\r\nContent-Length: 2\r\n\r\n{}",
                            kind.deadlineMicros / 1000 + LINGER_MS);
            ledger.add(
                    Clock.micros(),
                    "answer",
                    id,
                    "client",
                    "status="
                            + a.status()
                            + " result="
                            + (a.status() == 200 ? a.body() : "-")
                            + " via="
                            + t.name);
            t.back(line, a.keep());
        } catch (java.net.SocketTimeoutException e) {
            ledger.add(Clock.micros(), "gave-up", id, "client", "via=" + t.name);
            line.close();
        } catch (IOException e) {
            long now = Clock.micros();
            boolean idle = line.used() && now - sent < 20_000;
            ledger.add(now, idle ? "broken-idle" : "broken", id, "client", "via=" + t.name);
            line.close();
        }
    }

    /** No more are begun; returns once all that are under way are over. */
    public void finish() throws InterruptedException {
        setRate(0);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        do {
            TimeUnit.MILLISECONDS.sleep(20);
        } while (underWay.get() > 0 && System.nanoTime() < end);
        ledger.flush();
    }

    public void flush() {
        ledger.flush();
    }

    @Override
    public void close() throws IOException {
        clock.shutdownNow();
        senders.shutdownNow();
        targets.forEach(Target::close);
        ledger.close();
    }
}

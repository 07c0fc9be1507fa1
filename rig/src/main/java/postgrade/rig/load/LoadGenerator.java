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
 * Open-loop load: sends jobs at a steady rate to any reachable dispatcher and records the outcomes
 * in the clients' ledger. A dispatcher that refuses a connection is skipped for a while, as a load
 * balancer would do; no job is sent twice.
 */
public final class LoadGenerator implements Closeable {

    private static final long SKIP_MICROS = 500_000;

    /**
     * Late answers are awaited and recorded, so that the checkers can tell a late answer from a
     * missing one.
     */
    private static final long LATE_ANSWER_WAIT_MS = 20_000;

    private static final int FINISH_TIMEOUT_MS = 60_000;

    /**
     * One kind of jobs.
     *
     * @param weight relative frequency among all kinds
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
    private final ExecutorService senders = Executors.newCachedThreadPool(daemonThreads("shop"));
    private final ScheduledExecutorService clock =
            Executors.newSingleThreadScheduledExecutor(daemonThreads("load clock"));
    private final AtomicLong inFlight = new AtomicLong();
    private final long seed;
    private long lastJobNumber;
    private double perSecond;
    private double jobsDue;
    private long lastMicros;

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
        lastMicros = Clock.micros();
        clock.scheduleAtFixedRate(this::sendDueJobs, 2, 2, TimeUnit.MILLISECONDS);
        clock.scheduleAtFixedRate(this.ledger::flush, 50, 50, TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory daemonThreads(String name) {
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
     * Sets whether new connections to a dispatcher are opened, as a load balancer decides by its
     * readiness; open connections remain in use.
     *
     * @param dispatcher index from 0
     */
    public void setAdmitted(int dispatcher, boolean admitted) {
        targets.get(dispatcher).admitted = admitted;
    }

    /** Sends several jobs at once. */
    public void send(int jobs) throws InterruptedException, ExecutionException {
        clock.submit(
                        () -> {
                            for (int i = 0; i < jobs; i++) {
                                submitJob(Clock.micros());
                            }
                        })
                .get();
    }

    private void sendDueJobs() {
        long now = Clock.micros();
        jobsDue += perSecond * (now - lastMicros) / 1e6;
        lastMicros = now;
        for (; jobsDue >= 1; jobsDue--) {
            submitJob(now);
        }
    }

    private void submitJob(long now) {
        double pick = random.nextDouble() * kinds.stream().mapToDouble(JobKind::weight).sum();
        JobKind kind = kinds.get(kinds.size() - 1);
        for (JobKind k : kinds) {
            pick -= k.weight;
            if (pick < 0) {
                kind = k;
                break;
            }
        }
        lastJobNumber++;
        String id = String.format("%08x%08x", seed * 31 + 7, lastJobNumber);
        String detail =
                "job="
                        + lastJobNumber
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
        int firstTarget = random.nextInt(targets.size());
        JobKind chosen = kind;
        inFlight.incrementAndGet();
        senders.execute(
                () -> {
                    try {
                        send(id, chosen, detail, firstTarget);
                    } finally {
                        inFlight.decrementAndGet();
                    }
                });
    }

    private void send(String id, JobKind kind, String detail, int firstTarget) {
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get((firstTarget + i) % targets.size());
            if (Clock.micros() < target.skippedUntilMicros) {
                continue;
            }
            Target.Connection connection = target.connection();
            if (connection == null) {
                target.skippedUntilMicros = Clock.micros() + SKIP_MICROS;
                continue;
            }
            exchange(id, kind, detail, target, connection);
            return;
        }
        ledger.add(Clock.micros(), "unsent", id, "client", detail + " why=nobody_listens");
    }

    private void exchange(
            String id, JobKind kind, String detail, Target target, Target.Connection connection) {
        long sent = 0;
        try {
            // Recorded before the last byte is sent, as the process could be killed in between.
            sent = Clock.micros();
            ledger.add(sent, "sent", id, "client", detail + " via=" + target.name);
            Target.Answer answer =
                    connection.exchange(
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
                            kind.deadlineMicros / 1000 + LATE_ANSWER_WAIT_MS);
            ledger.add(
                    Clock.micros(),
                    "answer",
                    id,
                    "client",
                    "status="
                            + answer.status()
                            + " result="
                            + (answer.status() == 200 ? answer.body() : "-")
                            + " via="
                            + target.name);
            target.release(connection, answer.keepAlive());
        } catch (java.net.SocketTimeoutException e) {
            ledger.add(Clock.micros(), "gave-up", id, "client", "via=" + target.name);
            connection.close();
        } catch (IOException e) {
            long now = Clock.micros();
            boolean idle = connection.reused() && now - sent < 20_000;
            ledger.add(now, idle ? "broken-idle" : "broken", id, "client", "via=" + target.name);
            connection.close();
        }
    }

    /** Stops sending; returns once no job is in flight or the wait has timed out. */
    public void finish() throws InterruptedException {
        setRate(0);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISH_TIMEOUT_MS);
        do {
            TimeUnit.MILLISECONDS.sleep(20);
        } while (inFlight.get() > 0 && System.nanoTime() < end);
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

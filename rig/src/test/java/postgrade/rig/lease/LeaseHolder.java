package postgrade.rig.lease;

import java.util.SplittableRandom;
import postgrade.rig.lease.LeaseCalls.Call;

/**
 * Simulates a holder: acquires, renews for a while, then releases its reservation or abandons it,
 * and starts again as a new incarnation.
 */
final class LeaseHolder implements Runnable {

    private final LeaseCalls calls;
    private final String name;
    private final int accelerators;
    private final boolean queues;
    private final SplittableRandom random;
    private long incarnation;
    volatile boolean stopped;
    volatile Throwable failure;

    LeaseHolder(LeaseCalls calls, String name, int accelerators, boolean queues, long seed) {
        this.calls = calls;
        this.name = name;
        this.accelerators = accelerators;
        this.queues = queues;
        random = new SplittableRandom(seed);
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                runIncarnation();
                pause(random.nextLong(500, 9000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            failure = e;
        }
    }

    private void pause(long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + millis * 1_000_000;
        while (!stopped && System.nanoTime() < deadlineNanos) {
            Thread.sleep(Math.min(50, millis));
        }
    }

    private void runIncarnation() throws InterruptedException {
        incarnation++;
        long ttl = random.nextLong(2000, 4000);
        String acquireArguments =
                "accelerators=" + accelerators + " ttlMs=" + ttl + " wait=" + (queues ? 1 : 0);
        long deadlineNanos = System.nanoTime() + random.nextLong(2_000_000_000L, 8_000_000_000L);
        long fence = 0;
        while (!stopped && System.nanoTime() < deadlineNanos) {
            Call call =
                    fence == 0 || random.nextInt(4) == 0
                            ? calls.call(
                                    name,
                                    incarnation,
                                    ttl,
                                    accelerators,
                                    "acquire",
                                    acquireArguments)
                            : calls.call(
                                    name,
                                    incarnation,
                                    ttl,
                                    accelerators,
                                    "renew",
                                    "fence=" + fence);
            fence = call.granted() ? call.fence() : 0;
            pause(ttl / 4);
        }
        if (fence != 0 && random.nextInt(3) == 0) {
            calls.call(name, incarnation, ttl, accelerators, "release", "fence=" + fence);
        }
    }
}

package postgrade.rig.jobs;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * One gate for each job, shared by the proxies to all workers: {@link
 * ExchangeFault.Kind#GATED_REQUEST}. A request that waits at its gate has not been answered itself,
 * so the answer that opens it is another worker's.
 */
final class RequestGates {

    private final Map<String, CountDownLatch> gates = new ConcurrentHashMap<>();

    private CountDownLatch gate(String subject) {
        return gates.computeIfAbsent(subject, key -> new CountDownLatch(1));
    }

    /** A worker has answered an attempt of the job. */
    void open(String subject) {
        gate(subject).countDown();
    }

    /** Returns whether the gate opened within the time limit. */
    boolean awaitOpen(String subject, long maxMillis) throws InterruptedException {
        return gate(subject).await(maxMillis, TimeUnit.MILLISECONDS);
    }
}

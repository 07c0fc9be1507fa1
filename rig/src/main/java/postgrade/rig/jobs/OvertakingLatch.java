package postgrade.rig.jobs;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Holds back a job and the answer to its cancellation, so that they cross: {@link
 * ExchangeFault.Kind#OVERTAKEN}.
 */
final class OvertakingLatch {

    private final CountDownLatch cancelled = new CountDownLatch(1);
    private final CountDownLatch answered = new CountDownLatch(1);

    /** Called when the worker has answered the cancellation. */
    void cancelled() {
        cancelled.countDown();
    }

    /** Called when the answer to the job was forwarded. */
    void answered() {
        answered.countDown();
    }

    /**
     * Waits until the cancellation was answered. A job that is not cancelled is forwarded after the
     * time limit.
     *
     * @return whether the cancellation was answered within the time limit
     */
    boolean awaitCancelled(long maxMillis) throws InterruptedException {
        return cancelled.await(maxMillis, TimeUnit.MILLISECONDS);
    }

    void awaitAnswered(long maxMillis) throws InterruptedException {
        answered.await(maxMillis, TimeUnit.MILLISECONDS);
    }
}

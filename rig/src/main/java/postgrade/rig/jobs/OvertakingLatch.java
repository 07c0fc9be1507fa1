package postgrade.rig.jobs;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Holds back a job and its cancellation, so that they cross: {@link
 * ExchangeFault.LoadKind#OVERTAKEN}.
 */
final class OvertakingLatch {

    private final CountDownLatch cancelled = new CountDownLatch(1);
    private final CountDownLatch answered = new CountDownLatch(1);

    /** The worker has answered the cancellation. */
    void cancelled() {
        cancelled.countDown();
    }

    /** The answer to the job has been passed on. */
    void answered() {
        answered.countDown();
    }

    /**
     * A job that nobody cancels goes on after so long.
     *
     * @return whether its cancellation has been answered before it
     */
    boolean awaitCancelled(long maxMillis) throws InterruptedException {
        return cancelled.await(maxMillis, TimeUnit.MILLISECONDS);
    }

    void awaitAnswered(long maxMillis) throws InterruptedException {
        answered.await(maxMillis, TimeUnit.MILLISECONDS);
    }
}

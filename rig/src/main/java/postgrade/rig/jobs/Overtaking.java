package postgrade.rig.jobs;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Holds back a job and its cancellation, so that they cross: {@link ExchangeFault.Kind#OVERTAKEN}.
 */
final class Overtaking {

    /** A job that nobody cancels goes on after this. */
    private static final long MOST_SECONDS = 5;

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

    void awaitCancelled() throws InterruptedException {
        cancelled.await(MOST_SECONDS, TimeUnit.SECONDS);
    }

    void awaitAnswered() throws InterruptedException {
        answered.await(MOST_SECONDS, TimeUnit.SECONDS);
    }
}

package postgrade.rig.proxy;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What holds bytes of one way up. Bytes that are held are not lost: as with a cut cable, they come
 * when it is healed.
 */
final class Gate {

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private boolean shut;
    private boolean ended;
    private long delayNanos;

    void shut(boolean now) {
        lock.lock();
        try {
            shut = now;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    void delay(long nanos) {
        lock.lock();
        try {
            delayNanos = nanos;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Lets all waiters go, with the word that nothing passes any more. */
    void end() {
        lock.lock();
        try {
            ended = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until what was read at that time may pass.
     *
     * @return false once nothing passes any more
     */
    boolean pass(long readNanos) throws InterruptedException {
        lock.lock();
        try {
            while (!ended) {
                long left = readNanos + delayNanos - System.nanoTime();
                if (shut) {
                    changed.await();
                } else if (left > 0) {
                    changed.await(left, TimeUnit.NANOSECONDS);
                } else {
                    return true;
                }
            }
            return false;
        } finally {
            lock.unlock();
        }
    }
}

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
    private boolean blocked;
    private boolean ended;
    private long delayNanos;

    void setBlocked(boolean block) {
        lock.lock();
        try {
            blocked = block;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    void setDelay(long nanos) {
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
    boolean awaitOpen(long readNanos) throws InterruptedException {
        lock.lock();
        try {
            while (!ended) {
                long remainingNanos = readNanos + delayNanos - System.nanoTime();
                if (blocked) {
                    changed.await();
                } else if (remainingNanos > 0) {
                    changed.await(remainingNanos, TimeUnit.NANOSECONDS);
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

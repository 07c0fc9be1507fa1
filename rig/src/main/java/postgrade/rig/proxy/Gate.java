package postgrade.rig.proxy;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Holds back the bytes of one direction. Held bytes are not lost: as with an unplugged cable, they
 * are delivered once the connection is healed.
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

    /** Releases all waiting threads; nothing passes any more. */
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
     * Waits until data that was read at that time may pass.
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

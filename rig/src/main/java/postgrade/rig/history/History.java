package postgrade.rig.history;

import com.eclipsesource.json.JsonObject;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import postgrade.fleet.Clock;

/**
 * Events of a run in the order in which the rig learnt of them: one JSON line each in a file, and
 * in memory for threads that wait for an event. Times are microseconds of the machine's monotonic
 * clock, as in the ledgers. Thread-safe.
 */
public final class History implements Closeable {

    /**
     * One event.
     *
     * @param who a process, a proxy or the rig
     * @param kind type of the event
     * @param fields all other data
     */
    public record Event(long micros, String who, String kind, JsonObject fields) {

        public String text(String name) {
            return fields.getString(name, "");
        }

        public long number(String name) {
            return fields.getLong(name, 0);
        }
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition appended = lock.newCondition();
    private final List<Event> events = new ArrayList<>();
    private final BufferedWriter file;

    public History(Path path) throws IOException {
        Files.createDirectories(path.toAbsolutePath().getParent());
        file =
                Files.newBufferedWriter(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
    }

    public long nowMicros() {
        return Clock.micros();
    }

    public Event add(String who, String kind, JsonObject fields) {
        lock.lock();
        try {
            Event e = new Event(nowMicros(), who, kind, fields);
            events.add(e);
            file.write(
                    new JsonObject()
                            .add("us", e.micros)
                            .add("who", who)
                            .add("kind", kind)
                            .add("with", fields)
                            .toString());
            file.newLine();
            file.flush();
            appended.signalAll();
            return e;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Without its history a run proves nothing.
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of events so far, from which a later wait may start. */
    public int size() {
        lock.lock();
        try {
            return events.size();
        } finally {
            lock.unlock();
        }
    }

    public List<Event> all() {
        lock.lock();
        try {
            return List.copyOf(events);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits for the first event at or after that position that meets the condition.
     *
     * @throws IllegalStateException if no such event occurs in time
     */
    public Event await(String what, int from, long withinMillis, Predicate<Event> condition)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        lock.lock();
        try {
            int next = from;
            while (true) {
                for (; next < events.size(); next++) {
                    if (condition.test(events.get(next))) {
                        return events.get(next);
                    }
                }
                long remainingNanos = deadlineNanos - System.nanoTime();
                if (remainingNanos <= 0) {
                    throw new IllegalStateException(
                            "no "
                                    + what
                                    + " within "
                                    + withinMillis
                                    + " ms; last events: "
                                    + events.subList(
                                            Math.max(from, events.size() - 12), events.size()));
                }
                appended.awaitNanos(remainingNanos);
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() throws IOException {
        lock.lock();
        try {
            file.close();
        } finally {
            lock.unlock();
        }
    }
}

package postgrade.fleet.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The jobs that wait at a worker: higher priorities first, and of one priority whoever came first.
 */
final class WaitingLine {

    private final TreeMap<Integer, Deque<Job>> byPriority = new TreeMap<>();
    private int size;

    int size() {
        return size;
    }

    void last(Job job) {
        byPriority.computeIfAbsent(-job.priority, p -> new ArrayDeque<>()).addLast(job);
        size++;
    }

    /** Before others of its priority: it came before them. */
    void first(Job job) {
        byPriority.computeIfAbsent(-job.priority, p -> new ArrayDeque<>()).addFirst(job);
        size++;
    }

    /**
     * The first that may begin, or null. One that waits for an accelerator holds up nobody who
     * needs none.
     */
    Job next(Predicate<Job> mayBegin) {
        for (Deque<Job> line : byPriority.values()) {
            for (Job job : line) {
                if (mayBegin.test(job)) {
                    return job;
                }
            }
        }
        return null;
    }

    void remove(Job job) {
        Deque<Job> line = byPriority.get(-job.priority);
        if (line != null && line.remove(job)) {
            size--;
            if (line.isEmpty()) {
                byPriority.remove(-job.priority);
            }
        }
    }

    void clear() {
        byPriority.clear();
        size = 0;
    }
}

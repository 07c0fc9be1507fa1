package postgrade.rig.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Processor time of a process in nanoseconds, in total and by thread. The total includes threads
 * that have ended, in ticks of 10 ms.
 */
record ThreadTimes(long totalNanos, Map<String, ThreadTime> threads) {

    static final String LOOP = "loop";
    static final String SHARING = "sharing";
    private static final long TICK_NANOS = 10_000_000;

    /** Index of the field in {@code /proc/PID/stat}, counted after the program's name. */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;

    /**
     * Processor time of one thread.
     *
     * @param group what the thread does, derived from its name
     */
    record ThreadTime(String group, long nanos) {}

    static ThreadTimes of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(process.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long totalNanos =
                (Long.parseLong(fields[USER_TIME_FIELD])
                                + Long.parseLong(fields[SYSTEM_TIME_FIELD]))
                        * TICK_NANOS;
        Map<String, ThreadTime> threads = new TreeMap<>();
        try (Stream<Path> tasks = Files.list(process.resolve("task"))) {
            for (Path task : (Iterable<Path>) tasks::iterator) {
                try {
                    threads.put(
                            task.getFileName().toString(),
                            new ThreadTime(
                                    group(Files.readString(task.resolve("comm")).strip()),
                                    Long.parseLong(
                                            Files.readString(task.resolve("schedstat"))
                                                    .split(" ")[0])));
                } catch (IOException e) {
                    // The thread has ended; the total includes it.
                }
            }
        }
        return new ThreadTimes(totalNanos, threads);
    }

    /**
     * Assigns a thread to a group by the name that the dispatcher or one of its libraries gave it,
     * of which the system keeps 15 characters.
     */
    private static String group(String name) {
        if (name.equals(LOOP)) {
            return LOOP;
        }
        return name.startsWith("quorum")
                        || name.startsWith("sharing")
                        || name.startsWith("memory")
                        || name.startsWith("grpc")
                        || name.startsWith("MVStore")
                ? SHARING
                : "";
    }

    /**
     * Returns the time that the threads of a group have used since the earlier reading. Threads are
     * grouped by their current names, as a thread gets its name only after its start.
     */
    long cpuNanosSince(ThreadTimes before, String group) {
        long sum = 0;
        for (Map.Entry<String, ThreadTime> e : threads.entrySet()) {
            if (e.getValue().group.equals(group)) {
                ThreadTime earlier = before.threads.get(e.getKey());
                sum += e.getValue().nanos - (earlier == null ? 0 : earlier.nanos);
            }
        }
        return sum;
    }
}

package postgrade.rig.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The time that a process has had on processors, as a whole and by thread, in nanoseconds. The
 * whole counts threads that have ended too, in the system's ticks of 10 ms.
 */
record ThreadTimes(long all, Map<String, ThreadTime> threads) {

    static final String LOOP = "loop";
    static final String SHARING = "sharing";
    private static final long TICK_NANOS = 10_000_000;

    /** In {@code /proc/PID/stat}, of the fields behind the program's name. */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;

    /**
     * @param group what it does, by its name
     */
    record ThreadTime(String group, long nanos) {}

    static ThreadTimes of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(process.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long all =
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
                    // It has ended; the whole counts it.
                }
            }
        }
        return new ThreadTimes(all, threads);
    }

    /**
     * By the names that the dispatcher and its libraries give their threads, of which the system
     * keeps 15 letters.
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
     * How long the threads of a group ran since then, by the names that they have now: a thread
     * gets its name after its start.
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

package postgrade.simulation;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import postgrade.simulation.model.Mechanisms;
import postgrade.simulation.model.Simulation;
import postgrade.simulation.model.Simulation.Result;

/** Runs seeds: {@code --seeds A..B [--threads N]}, or one with its story: {@code --trace SEED}. */
public final class Main {

    private static final String USAGE =
            "usage: simulation --seeds A..B [--threads N] | --trace SEED";
    private static final int MOST_TOLD = 5;

    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        long from = 0;
        long to = -1;
        int threads = 2;
        Long trace = null;
        try {
            for (int i = 0; i < args.length; i += 2) {
                switch (args[i]) {
                    case "--seeds" -> {
                        String[] range = args[i + 1].split("\\.\\.");
                        from = Long.parseLong(range[0]);
                        to = Long.parseLong(range[range.length - 1]);
                    }
                    case "--threads" -> threads = Integer.parseInt(args[i + 1]);
                    case "--trace" -> trace = Long.parseLong(args[i + 1]);
                    default -> throw new IllegalArgumentException(args[i]);
                }
            }
            if (trace == null && to < from || threads < 1) {
                throw new IllegalArgumentException();
            }
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            System.err.println(USAGE);
            return 2;
        }
        if (trace != null) {
            Result r = Simulation.run(trace, new Mechanisms(), System.out::println);
            tell(r);
            System.out.println(r.seen());
            return r.violations().isEmpty() ? 0 : 1;
        }
        return seeds(from, to, threads);
    }

    private static int seeds(long from, long to, int threads) {
        long began = System.nanoTime();
        AtomicLong next = new AtomicLong(from);
        AtomicLong failed = new AtomicLong();
        Map<String, Long> seen = new TreeMap<>();
        LongStream.range(0, threads)
                .mapToObj(
                        t ->
                                new Thread(
                                        () -> {
                                            for (long seed = next.getAndIncrement();
                                                    seed <= to;
                                                    seed = next.getAndIncrement()) {
                                                Result r =
                                                        Simulation.run(
                                                                seed, new Mechanisms(), null);
                                                synchronized (seen) {
                                                    r.seen()
                                                            .forEach(
                                                                    (what, n) ->
                                                                            seen.merge(
                                                                                    what,
                                                                                    n,
                                                                                    most(what)
                                                                                            ? Math
                                                                                                    ::max
                                                                                            : Long
                                                                                                    ::sum));
                                                    if (!r.violations().isEmpty()
                                                            && failed.incrementAndGet()
                                                                    <= MOST_TOLD) {
                                                        tell(r);
                                                    }
                                                }
                                            }
                                        }))
                .toList()
                .stream()
                .peek(Thread::start)
                .toList()
                .forEach(Main::join);
        seen.forEach((what, n) -> System.out.println(what + ": " + n));
        System.out.printf(
                "%d seeds, %d failing, %.1f s%n",
                to - from + 1, failed.get(), (System.nanoTime() - began) / 1e9);
        return failed.get() == 0 ? 0 : 1;
    }

    private static boolean most(String what) {
        return what.contains("most")
                || what.contains("greatest")
                || what.contains("within a second");
    }

    private static void join(Thread t) {
        try {
            t.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void tell(Result r) {
        System.out.println("seed " + r.seed() + " fails");
        r.violations().stream().limit(MOST_TOLD).forEach(v -> System.out.println("  " + v));
    }
}

package postgrade.calendar.oracle;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Compares a number of cases: {@code OracleMain CASES THREADS SEED [MUTATION]}. Exits with code 1
 * if any differs.
 */
public final class OracleMain {

    private OracleMain() {}

    public static void main(String[] args) throws InterruptedException {
        long cases = Long.parseLong(args[0]);
        long seed = Long.parseLong(args[2]);
        Mutation mutation = args.length > 3 ? Mutation.valueOf(args[3]) : Mutation.NONE;
        AtomicLong next = new AtomicLong();
        AtomicLong differing = new AtomicLong();
        long began = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (int t = Integer.parseInt(args[1]); t > 0; t--) {
            Thread thread =
                    new Thread(
                            () -> {
                                for (long i = next.getAndIncrement();
                                        i < cases;
                                        i = next.getAndIncrement()) {
                                    GeneratedCase generated = CaseGenerator.generate(seed, i);
                                    String difference =
                                            Comparison.findDifference(generated, mutation);
                                    if (difference != null && differing.getAndIncrement() < 3) {
                                        System.out.println(
                                                "case "
                                                        + i
                                                        + ": "
                                                        + difference
                                                        + ", site in "
                                                        + generated.siteZone
                                                        + "\n"
                                                        + generated.text());
                                    }
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf(
                "%,d cases, seed %d, mutation %s: %,d differ (%.0f s)%n",
                cases, seed, mutation, differing.get(), (System.nanoTime() - began) / 1e9);
        System.exit(differing.get() == 0 ? 0 : 1);
    }
}

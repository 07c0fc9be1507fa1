package postgrade.rig.comeback;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What a mode's rounds came to. All times in milliseconds. */
final class Figures {

    /**
     * One round, judged. @param fullMillis after the last was ready, -1 where it was not reached
     */
    record Of(
            int number,
            double steady,
            long readyMillis,
            long fullMillis,
            Service.Missed missed,
            double listsSteady,
            int listsMost,
            double connectsSteady,
            int connectsMostSteady,
            int connectsMost,
            double kibSteady,
            int kibMost,
            double callsSteady,
            int callsMost) {

        JsonObject json(String mode) {
            return new JsonObject()
                    .add("mode", mode)
                    .add("round", number)
                    .add("steady", steady)
                    .add("ready_ms", readyMillis)
                    .add("full_ms", fullMillis)
                    .add("late", missed.late())
                    .add("refused", missed.refused())
                    .add("lost", missed.lost())
                    .add("lists_steady_s", listsSteady)
                    .add("lists_peak_s", listsMost)
                    .add("connects_steady_s", connectsSteady)
                    .add("connects_steady_peak_s", connectsMostSteady)
                    .add("connects_peak_s", connectsMost)
                    .add("between_kib_steady_s", kibSteady)
                    .add("between_kib_peak_s", kibMost)
                    .add("between_connects_steady_s", callsSteady)
                    .add("between_connects_peak_s", callsMost);
        }
    }

    final String mode;
    final List<Of> rounds = new ArrayList<>();
    int stale;
    int otherBreaches;

    Figures(String mode) {
        this.mode = mode;
    }

    static long quantile(List<Long> all, double q) {
        List<Long> sorted = all.stream().sorted().toList();
        return sorted.isEmpty()
                ? -1
                : sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(q * sorted.size()) - 1));
    }

    static String head() {
        return "| mode | rounds | ready p50 / p99 ms | full service after the last ready, p50 / p99 ms | not reached | late "
                + "| refused | lost | lists: steady/s, peak | connects: steady/s, steady peak, peak | between processes, "
                + "KiB: steady/s, peak | connects between: steady/s, peak | stale | other breaches |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
                + "| --- |\n";
    }

    String line() {
        List<Long> ready = rounds.stream().map(Of::readyMillis).toList();
        List<Long> full =
                rounds.stream().map(r -> r.fullMillis < 0 ? Long.MAX_VALUE : r.fullMillis).toList();
        return String.format(
                Locale.ROOT,
                "| %s | %d | %d / %d | %s / %s | %d | %.1f | %.1f | %.1f | %.1f, %d | "
                        + "%.1f, %d, %d | %.1f, %d | %.1f, %d | %d | %d |%n",
                mode,
                rounds.size(),
                quantile(ready, 0.5),
                quantile(ready, 0.99),
                told(quantile(full, 0.5)),
                told(quantile(full, 0.99)),
                rounds.stream().filter(r -> r.fullMillis < 0).count(),
                mean(rounds.stream().map(r -> (double) r.missed.late()).toList()),
                mean(rounds.stream().map(r -> (double) r.missed.refused()).toList()),
                mean(rounds.stream().map(r -> (double) r.missed.lost()).toList()),
                mean(rounds.stream().map(Of::listsSteady).toList()),
                most(rounds.stream().map(Of::listsMost).toList()),
                mean(rounds.stream().map(Of::connectsSteady).toList()),
                most(rounds.stream().map(Of::connectsMostSteady).toList()),
                most(rounds.stream().map(Of::connectsMost).toList()),
                mean(rounds.stream().map(Of::kibSteady).toList()),
                most(rounds.stream().map(Of::kibMost).toList()),
                mean(rounds.stream().map(Of::callsSteady).toList()),
                most(rounds.stream().map(Of::callsMost).toList()),
                stale,
                otherBreaches);
    }

    private static String told(long millis) {
        return millis == Long.MAX_VALUE ? "not" : Long.toString(millis);
    }

    private static double mean(List<Double> of) {
        return of.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static int most(List<Integer> of) {
        return of.stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}

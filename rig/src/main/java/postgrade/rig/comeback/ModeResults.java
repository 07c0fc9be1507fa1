package postgrade.rig.comeback;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Results of all rounds of one mode. All times are in milliseconds. */
final class ModeResults {

    /**
     * Evaluated round.
     *
     * @param fullMillis time from the last dispatcher's readiness to full service, -1 if full
     *     service was not reached
     */
    record RoundResult(
            int number,
            double steady,
            long readyMillis,
            long fullMillis,
            ServiceLevel.MissedJobs missed,
            double listsSteady,
            int listsPeak,
            double connectsSteady,
            int connectsSteadyPeak,
            int connectsPeak,
            double peerKibSteady,
            int peerKibPeak,
            double peerConnectsSteady,
            int peerConnectsPeak) {

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
                    .add("lists_peak_s", listsPeak)
                    .add("connects_steady_s", connectsSteady)
                    .add("connects_steady_peak_s", connectsSteadyPeak)
                    .add("connects_peak_s", connectsPeak)
                    .add("between_kib_steady_s", peerKibSteady)
                    .add("between_kib_peak_s", peerKibPeak)
                    .add("between_connects_steady_s", peerConnectsSteady)
                    .add("between_connects_peak_s", peerConnectsPeak);
        }
    }

    final String mode;
    final List<RoundResult> rounds = new ArrayList<>();
    int staleDecisions;
    int otherBreaches;

    ModeResults(String mode) {
        this.mode = mode;
    }

    static long quantile(List<Long> values, double q) {
        List<Long> sorted = values.stream().sorted().toList();
        return sorted.isEmpty()
                ? -1
                : sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(q * sorted.size()) - 1));
    }

    static String header() {
        return "| mode | rounds | ready p50 / p99 ms | full service after the last ready, p50 / p99 ms | not reached | late "
                + "| refused | lost | lists: steady/s, peak | connects: steady/s, steady peak, peak | between processes, "
                + "KiB: steady/s, peak | connects between: steady/s, peak | stale | other breaches |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
                + "| --- |\n";
    }

    String row() {
        List<Long> ready = rounds.stream().map(RoundResult::readyMillis).toList();
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
                formatMillis(quantile(full, 0.5)),
                formatMillis(quantile(full, 0.99)),
                rounds.stream().filter(r -> r.fullMillis < 0).count(),
                mean(rounds.stream().map(r -> (double) r.missed.late()).toList()),
                mean(rounds.stream().map(r -> (double) r.missed.refused()).toList()),
                mean(rounds.stream().map(r -> (double) r.missed.lost()).toList()),
                mean(rounds.stream().map(RoundResult::listsSteady).toList()),
                max(rounds.stream().map(RoundResult::listsPeak).toList()),
                mean(rounds.stream().map(RoundResult::connectsSteady).toList()),
                max(rounds.stream().map(RoundResult::connectsSteadyPeak).toList()),
                max(rounds.stream().map(RoundResult::connectsPeak).toList()),
                mean(rounds.stream().map(RoundResult::peerKibSteady).toList()),
                max(rounds.stream().map(RoundResult::peerKibPeak).toList()),
                mean(rounds.stream().map(RoundResult::peerConnectsSteady).toList()),
                max(rounds.stream().map(RoundResult::peerConnectsPeak).toList()),
                staleDecisions,
                otherBreaches);
    }

    private static String formatMillis(long millis) {
        return millis == Long.MAX_VALUE ? "not" : Long.toString(millis);
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static int max(List<Integer> values) {
        return values.stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}

package postgrade.rig.soak;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import postgrade.fleet.check.RuleChecker;
import postgrade.rig.jobs.ExchangeFault;

/**
 * What came of one run.
 *
 * @param requests that clients sent
 * @param served with a result
 * @param attempts that reached workers
 * @param notPut faults of the plan that could not be put: the run does not show what they do
 * @param contradictedEnds call-backs for attempts that a dispatcher had taken for ended
 */
record SoakResult(
        SoakPlan plan,
        long requests,
        long served,
        long attempts,
        Map<ExchangeFault.Kind, Long> exchangeFaults,
        List<String> notInjected,
        long contradictedEnds,
        List<RuleChecker.Violation> violations) {

    boolean isClean() {
        return violations.isEmpty() && notInjected.isEmpty() && requests > 0 && attempts > 0;
    }

    private String verdict() {
        if (!violations.isEmpty()) {
            return " BROKEN " + violations.size();
        }
        return isClean() ? " ok" : " NOT CLEAN";
    }

    /** One line: the seed, the verdict, what was judged and which faults there were. */
    String summary() {
        StringBuilder text = new StringBuilder();
        text.append("seed ")
                .append(plan.seed())
                .append(verdict())
                .append(": requests ")
                .append(requests)
                .append(", served ")
                .append(served)
                .append(", attempts ")
                .append(attempts)
                .append(", contradicted ends ")
                .append(contradictedEnds)
                .append("; faults:");
        exchangeFaults.forEach(
                (kind, count) ->
                        text.append(' ')
                                .append(kind.name().toLowerCase(Locale.ROOT))
                                .append('=')
                                .append(count));
        plan.processFaults().forEach(fault -> text.append(", ").append(fault));
        if (plan.idleClients() > 0) {
            text.append(", idle clients ").append(plan.idleClients());
        }
        if (!notInjected.isEmpty()) {
            text.append("; could not be put: ").append(String.join(", ", notInjected));
        }
        return text.toString();
    }
}

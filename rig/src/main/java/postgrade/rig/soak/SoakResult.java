package postgrade.rig.soak;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import postgrade.fleet.check.RuleChecker;
import postgrade.rig.jobs.ExchangeFault;

/**
 * Result of one run.
 *
 * @param requests number sent by clients
 * @param served number answered with a result
 * @param attempts number that reached workers
 * @param notInjected planned faults that could not be injected: the run does not show their effect
 * @param contradictedEnds call-backs for attempts that a dispatcher had considered ended
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

    /** Returns one line with the seed, the verdict, the counts and the faults. */
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

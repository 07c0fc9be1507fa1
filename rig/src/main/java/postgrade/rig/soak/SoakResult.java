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
 * @param contradictedEnds call-backs for attempts that a dispatcher had taken for ended
 */
record SoakResult(
        SoakPlan plan,
        long requests,
        long served,
        long attempts,
        Map<ExchangeFault.Kind, Long> exchangeFaults,
        long contradictedEnds,
        List<RuleChecker.Violation> violations) {

    boolean isClean() {
        return violations.isEmpty() && requests > 0 && attempts > 0;
    }

    /** One line: the seed, the verdict, what was judged and which faults there were. */
    String line() {
        StringBuilder text = new StringBuilder();
        text.append("seed ")
                .append(plan.seed())
                .append(isClean() ? " ok" : " BROKEN " + violations.size())
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
        return text.toString();
    }
}

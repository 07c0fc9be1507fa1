package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import postgrade.policy.api.Deployment;
import postgrade.policy.api.PolicyStateEntry;

/**
 * Exports what one process of a dispatcher has learnt and imports it in the next. Times go as ages.
 * What the importing process does not know, such as a worker that its list lacks, is ignored.
 */
final class PolicyStateTransfer {

    private static final String CLASS = "class";
    private static final String KIND = "kind";
    private static final String WORKER = "worker";
    private static final String TENANT = "tenant";
    private static final String KEY = "key";
    private static final String FLEET = "fleet";
    private static final String SLOW_START = "cold";

    /** For how long all that was sent to workers in slow start is known. */
    private static final String COMPLETE_FOR = "up";

    /** Prefix of the names that identify the deployment; the sort of name follows. */
    private static final String NAMED = "named ";

    private final PolicyState state;

    PolicyStateTransfer(PolicyState state) {
        this.state = state;
    }

    List<PolicyStateEntry> export(long nowNs) {
        List<PolicyStateEntry> rows = new ArrayList<>();
        state.classes().export(to(rows, CLASS));
        state.workers().exportKinds(to(rows, KIND));
        state.workers().exportWorkers(nowNs, to(rows, WORKER));
        state.workers().exportSlowStarts(nowNs, to(rows, SLOW_START));
        if (state.slowStart().hasList()) {
            to(rows, COMPLETE_FOR)
                    .accept("", new double[] {state.slowStart().completeForNs(nowNs)});
        }
        to(rows, FLEET).accept("", state.fleetLoad().export());
        state.rateLimiter().exportTenants(nowNs, to(rows, TENANT));
        state.rateLimiter().exportKeys(nowNs, to(rows, KEY));
        state.context()
                .settings()
                .deployment
                .names()
                .forEach(
                        (sort, names) ->
                                names.forEach(
                                        name ->
                                                to(rows, NAMED + sort)
                                                        .accept(name, new double[0])));
        return rows;
    }

    private static FiguresConsumer to(List<PolicyStateEntry> rows, String category) {
        return (name, values) -> rows.add(new PolicyStateEntry(category, name, values));
    }

    /**
     * Imports what another process has exported. Of the buckets' tokens only this process's share
     * is taken. What was learnt under another deployment's settings is ignored, but for what
     * workers in slow start were sent: that they have had.
     */
    void importAll(long nowNs, List<PolicyStateEntry> rows) {
        // An earlier version exports no names, and is taken for the same deployment.
        boolean sameDeployment = deployment(rows).isSameAs(state.context().settings().deployment);
        for (PolicyStateEntry row : rows) {
            if (sameDeployment || row.category().equals(SLOW_START)) {
                importRow(nowNs, row);
            }
        }
    }

    private void importRow(long nowNs, PolicyStateEntry row) {
        String name = row.name();
        double[] values = row.values();
        switch (row.category()) {
            case CLASS -> state.classes().restore(name, values);
            case KIND -> state.workers().restoreKind(name, values);
            case WORKER -> state.workers().restoreWorker(nowNs, name, values);
            case TENANT -> state.rateLimiter().restoreTenant(nowNs, name, values);
            case KEY -> state.rateLimiter().restoreKey(nowNs, name, values);
            case SLOW_START -> state.workers().restoreSlowStart(nowNs, name, values);
            case COMPLETE_FOR -> state.slowStart().completeFor(nowNs, (long) values[0]);
            case FLEET -> state.fleetLoad().restore(values);
            default -> {
                // A later version may export more.
            }
        }
    }

    private static Deployment deployment(List<PolicyStateEntry> rows) {
        Deployment exported = Deployment.UNNAMED;
        for (Deployment.Sort sort : Deployment.Sort.values()) {
            List<String> names =
                    rows.stream()
                            .filter(row -> row.category().equals(NAMED + sort))
                            .map(PolicyStateEntry::name)
                            .toList();
            exported = exported.with(sort, names);
        }
        return exported;
    }
}

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
    private static final String USAGE_COMPLETE_FOR = "up";

    /** Prefix of the names that identify the deployment; the sort of name follows. */
    private static final String DEPLOYMENT_NAME_PREFIX = "named ";

    private final PolicyState state;

    PolicyStateTransfer(PolicyState state) {
        this.state = state;
    }

    List<PolicyStateEntry> export(long nowNs) {
        List<PolicyStateEntry> rows = new ArrayList<>();
        state.classes().export(appendTo(rows, CLASS));
        state.workers().exportKinds(appendTo(rows, KIND));
        state.workers().exportWorkers(nowNs, appendTo(rows, WORKER));
        state.workers().exportSlowStartUsage(nowNs, appendTo(rows, SLOW_START));
        if (state.slowStart().hasWorkerList()) {
            appendTo(rows, USAGE_COMPLETE_FOR)
                    .accept("", new double[] {state.slowStart().usageCompleteForNs(nowNs)});
        }
        appendTo(rows, FLEET).accept("", state.fleetLoad().export());
        state.rateLimiter().exportTenants(nowNs, appendTo(rows, TENANT));
        state.rateLimiter().exportKeys(nowNs, appendTo(rows, KEY));
        state.context()
                .settings()
                .deployment
                .names()
                .forEach(
                        (sort, names) ->
                                names.forEach(
                                        name ->
                                                appendTo(rows, DEPLOYMENT_NAME_PREFIX + sort)
                                                        .accept(name, new double[0])));
        return rows;
    }

    private static StateEntryConsumer appendTo(List<PolicyStateEntry> rows, String category) {
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
            case SLOW_START -> state.workers().restoreSlowStartUsage(nowNs, name, values);
            case USAGE_COMPLETE_FOR ->
                    state.slowStart().restoreUsageCompleteFor(nowNs, (long) values[0]);
            case FLEET -> state.fleetLoad().restore(values);
            default -> {
                // A later version may export more.
            }
        }
    }

    private static Deployment deployment(List<PolicyStateEntry> rows) {
        Deployment exported = Deployment.UNNAMED;
        for (Deployment.NameType sort : Deployment.NameType.values()) {
            List<String> names =
                    rows.stream()
                            .filter(row -> row.category().equals(DEPLOYMENT_NAME_PREFIX + sort))
                            .map(PolicyStateEntry::name)
                            .toList();
            exported = exported.with(sort, names);
        }
        return exported;
    }
}

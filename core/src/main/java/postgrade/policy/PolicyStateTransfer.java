package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import postgrade.policy.api.Deployment;
import postgrade.policy.api.PolicyStateEntry;

/**
 * Exports what one process of a dispatcher has learned and imports it into the next. Times are
 * transferred as ages. Entries of things that the importing process does not know, such as a worker
 * missing from its list, are ignored.
 */
final class PolicyStateTransfer {

    private static final String CLASS = "class";
    private static final String KIND = "kind";
    private static final String WORKER = "worker";
    private static final String TENANT = "tenant";
    private static final String KEY = "key";
    private static final String FLEET = "fleet";
    private static final String SLOW_START = "cold";

    /**
     * Category of the time for which the record of work sent to workers in slow start is complete.
     */
    private static final String USAGE_COMPLETE_FOR = "up";

    /** Prefix of the categories of names that identify the deployment; the type of name follows. */
    private static final String DEPLOYMENT_NAME_PREFIX = "named ";

    private final PolicyState state;

    PolicyStateTransfer(PolicyState state) {
        this.state = state;
    }

    List<PolicyStateEntry> export(long nowNs) {
        List<PolicyStateEntry> entries = new ArrayList<>();
        state.classes().export(appendTo(entries, CLASS));
        state.workers().exportKinds(appendTo(entries, KIND));
        state.workers().exportWorkers(nowNs, appendTo(entries, WORKER));
        state.workers().exportSlowStartUsage(nowNs, appendTo(entries, SLOW_START));
        if (state.slowStart().hasWorkerList()) {
            appendTo(entries, USAGE_COMPLETE_FOR)
                    .accept("", new double[] {state.slowStart().usageCompleteForNs(nowNs)});
        }
        appendTo(entries, FLEET).accept("", state.fleetLoad().export());
        state.rateLimiter().exportTenants(nowNs, appendTo(entries, TENANT));
        state.rateLimiter().exportKeys(nowNs, appendTo(entries, KEY));
        state.context()
                .settings()
                .deployment
                .names()
                .forEach(
                        (type, names) ->
                                names.forEach(
                                        name ->
                                                appendTo(entries, DEPLOYMENT_NAME_PREFIX + type)
                                                        .accept(name, new double[0])));
        return entries;
    }

    private static StateEntryConsumer appendTo(List<PolicyStateEntry> entries, String category) {
        return (name, values) -> entries.add(new PolicyStateEntry(category, name, values));
    }

    /**
     * Imports what another process has exported. Of the tokens in the buckets only this process's
     * share is taken over. What was learned under another deployment's settings is ignored, except
     * the work sent to workers in slow start, which they have received in any case.
     */
    void importState(long nowNs, List<PolicyStateEntry> entries) {
        // Earlier versions export no names; they count as the same deployment.
        boolean sameDeployment =
                deployment(entries).isSameAs(state.context().settings().deployment);
        for (PolicyStateEntry entry : entries) {
            if (sameDeployment || entry.category().equals(SLOW_START)) {
                importEntry(nowNs, entry);
            }
        }
    }

    private void importEntry(long nowNs, PolicyStateEntry entry) {
        String name = entry.name();
        double[] values = entry.values();
        switch (entry.category()) {
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
                // Later versions may export further categories.
            }
        }
    }

    private static Deployment deployment(List<PolicyStateEntry> entries) {
        Deployment exported = Deployment.UNNAMED;
        for (Deployment.NameType type : Deployment.NameType.values()) {
            List<String> names =
                    entries.stream()
                            .filter(entry -> entry.category().equals(DEPLOYMENT_NAME_PREFIX + type))
                            .map(PolicyStateEntry::name)
                            .toList();
            exported = exported.with(type, names);
        }
        return exported;
    }
}

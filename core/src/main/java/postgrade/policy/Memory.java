package postgrade.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import postgrade.policy.State.Bucket;
import postgrade.policy.State.ClassState;
import postgrade.policy.State.Fading;
import postgrade.policy.State.Held;
import postgrade.policy.State.Kind;
import postgrade.policy.State.Node;
import postgrade.policy.State.Table;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;

/** All that one gateway remembers, shared by the parts that decide. Nothing is decided here. */
final class Memory {
    PolicySettings set;
    JobConstraints ability = JobConstraints.NONE;
    final PolicyActions out;
    final SplittableRandom random;
    final Map<String, ClassState> classes = new HashMap<>();
    final Map<String, Double> tenantRates = new HashMap<>();
    double allRates;
    final Table<Bucket> tenantBuckets;
    final Table<Bucket> keyBuckets;
    final Map<String, Kind> kinds = new HashMap<>();
    final Map<String, Node> nodes = new TreeMap<>();
    final List<Node> ready = new ArrayList<>();
    final Map<String, Held> jobs = new LinkedHashMap<>();
    double dearestNs = State.UNKNOWN_NS;
    double meanWeight = 1;
    boolean reported;
    Fading slotTimeServed = new Fading();

    /** The part of the fleet that is usually free of the other gateways' jobs. */
    double usualRoom = 1;

    /** How much of an even share the other gateways are taken to hold. */
    double others = 1;

    double share = 1;
    double retryBudget;
    double allFailures;
    long askAgainNs;
    long bootNs = -1;

    Memory(PolicySettings settings, long seed, PolicyActions actions) {
        out = actions;
        random = new SplittableRandom(seed);
        tenantBuckets = new Table<>(settings.mostBuckets);
        keyBuckets = new Table<>(settings.mostBuckets);
        settings(0, settings);
    }

    /**
     * Under the same deployment's settings counts and what was learnt stay, but of what the
     * settings no longer name. Under another's all begins anew as at a start. Either way jobs under
     * way hold the class that they came with.
     */
    void settings(long nowNs, PolicySettings next) {
        PolicySettings former = set;
        set = next;
        boolean same = former != null && former.deployment.same(next.deployment);
        Map<String, ClassState> known = same ? Map.copyOf(classes) : Map.of();
        classes.clear();
        next.classes.forEach(c -> classes.put(c.name(), new ClassState(c, known.get(c.name()))));
        tenantRates.clear();
        next.tenants.forEach(t -> tenantRates.put(t.name(), t.ratePerS() / next.dispatcherCount));
        allRates = tenantRates.values().stream().mapToDouble(r -> r).sum();
        if (!same) {
            forget();
        }
        tenantBuckets.keySet().retainAll(tenantRates.keySet());
        weighClasses();
        if (former != null
                && (next.overloadWindowNs > former.overloadWindowNs
                        || next.slowStartNs > former.slowStartNs
                        || next.slowStartInitialShare < former.slowStartInitialShare)) {
            // Guards workers that count as cold only now: what was sent to them has not been
            // counted, or not for so long.
            bootNs = nowNs;
        }
    }

    /**
     * What it knows of jobs and of how workers do. Which workers there are and what they hold of
     * ours is no figure.
     */
    private void forget() {
        tenantBuckets.clear();
        keyBuckets.clear();
        kinds.values().forEach(Kind::forget);
        nodes.values()
                .forEach(
                        n -> {
                            n.forget();
                            n.waitedAtNs = 0;
                            n.roomAtNs = 0;
                        });
        reported = false;
        slotTimeServed = new Fading();
        usualRoom = 1;
        others = 1;
        allFailures = 0;
        retryBudget = Retries.RETRY_MOST;
    }

    /** The rest of the tokens is another process's now. */
    void share(double part) {
        double keep = Math.min(1, part / share);
        tenantBuckets.values().forEach(b -> b.tokens *= keep);
        keyBuckets.values().forEach(b -> b.tokens *= keep);
        share = part;
    }

    /** How long a job runs on the mean of those served. */
    double meanNs() {
        double served = classes.values().stream().mapToLong(c -> c.served).sum();
        return served == 0
                ? State.UNKNOWN_NS
                : classes.values().stream().mapToDouble(c -> c.served * c.meanNs).sum() / served;
    }

    /** What the classes' running times come to, once one of them is known better. */
    void weighClasses() {
        dearestNs = classes.values().stream().mapToDouble(c -> c.meanNs).max().orElse(dearestNs);
    }
}

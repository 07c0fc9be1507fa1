package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postgrade.policy.State.Bucket;
import postgrade.policy.State.ClassState;
import postgrade.policy.State.Kind;
import postgrade.policy.State.Node;
import postgrade.policy.api.Deployment;
import postgrade.policy.api.TransferredFigures;

/**
 * Turns what one gateway remembers into figures that another process of it takes over, and back.
 * Times go as ages, and what the other does not know, a worker that its list lacks, say, is passed
 * over.
 */
final class Experience {

    private static final String CLASS = "class";
    private static final String KIND = "kind";
    private static final String WORKER = "worker";
    private static final String TENANT = "tenant";
    private static final String KEY = "key";
    private static final String FLEET = "fleet";
    private static final String COLD = "cold";

    /**
     * For how long all that was sent to cold workers is known: what came before a start is not, nor
     * after a crash.
     */
    private static final String UP = "up";

    /** Whose figures they are: its sort and a name. */
    private static final String NAMED = "named ";

    /** Guards the message against tables of thousands of keys; the busiest are the latest. */
    private static final int MOST_BUCKETS = 500;

    private Experience() {}

    static List<TransferredFigures> tell(long nowNs, Memory my) {
        List<TransferredFigures> all = new ArrayList<>();
        my.classes.forEach(
                (name, c) -> add(all, CLASS, name, c.meanNs, c.served, c.failures, c.seenNs));
        my.kinds.forEach((name, k) -> add(all, KIND, name, k.slots, k.pace, k.served, k.waitedNs));
        my.nodes.forEach(
                (name, n) ->
                        add(
                                all,
                                WORKER,
                                name,
                                n.failures,
                                Math.max(0, n.ejectedUntilNs - nowNs),
                                n.ejections,
                                n.pace,
                                n.paced,
                                n.waitedNs,
                                nowNs - n.waitedAtNs,
                                nowNs - n.fullNs,
                                n.untried ? 1 : 0));
        my.nodes.forEach(
                (name, n) -> {
                    double[] sends = n.coldSends(nowNs);
                    if (sends.length > 0) {
                        add(all, COLD, name, sends);
                    }
                });
        if (my.bootNs >= 0) {
            add(all, UP, "", nowNs - my.bootNs);
        }
        add(all, FLEET, "", my.usualRoom, my.others);
        tell(all, nowNs, TENANT, my.tenantBuckets);
        tell(all, nowNs, KEY, my.keyBuckets);
        my.set
                .deployment
                .names()
                .forEach((sort, names) -> names.forEach(name -> add(all, NAMED + sort, name)));
        return all;
    }

    private static void tell(
            List<TransferredFigures> all, long nowNs, String of, Map<String, Bucket> buckets) {
        List<String> names =
                new ArrayList<>(buckets.keySet()); // In the order of their use, the latest last.
        for (String name : names.subList(Math.max(0, names.size() - MOST_BUCKETS), names.size())) {
            Bucket b = buckets.get(name);
            add(all, of, name, b.tokens, b.demandPerS, b.failures, nowNs - b.atNs);
        }
    }

    private static void add(
            List<TransferredFigures> all, String of, String name, double... figures) {
        all.add(new TransferredFigures(of, name, figures));
    }

    /**
     * Of the buckets' tokens only this process's share is taken; the rest stays with who told. What
     * was learnt under another deployment's settings is passed over, but for what cold workers were
     * sent: that they have had.
     */
    static void take(long nowNs, List<TransferredFigures> all, Memory my) {
        // An earlier version tells no names, and is taken for the same.
        boolean same = deployment(all).same(my.set.deployment);
        for (TransferredFigures l : all) {
            double[] f = l.values();
            if (!same && !l.category().equals(COLD)) {
                continue;
            }
            switch (l.category()) {
                case CLASS -> take(my.classes.get(l.name()), f);
                case KIND -> take(my.kinds.get(l.name()), f);
                case WORKER -> take(nowNs, my.nodes.get(l.name()), f);
                case TENANT -> {
                    if (my.tenantRates.containsKey(l.name())) {
                        my.tenantBuckets.put(l.name(), bucket(nowNs, f, my.share));
                    }
                }
                case KEY -> my.keyBuckets.put(l.name(), bucket(nowNs, f, my.share));
                case COLD -> cold(nowNs, my.nodes.get(l.name()), f);
                case UP ->
                        my.bootNs =
                                Math.min(my.bootNs < 0 ? nowNs : my.bootNs, nowNs - (long) f[0]);
                case FLEET -> {
                    my.usualRoom = f[0];
                    my.others = f[1];
                }
                default -> {} // A later version may tell more.
            }
        }
    }

    private static Deployment deployment(List<TransferredFigures> all) {
        Deployment told = Deployment.UNNAMED;
        for (Deployment.Sort sort : Deployment.Sort.values()) {
            told =
                    told.with(
                            sort,
                            all.stream()
                                    .filter(l -> l.category().equals(NAMED + sort))
                                    .map(TransferredFigures::name)
                                    .toList());
        }
        return told;
    }

    private static void take(ClassState c, double[] f) {
        if (c != null) {
            c.meanNs = f[0];
            c.served = (long) f[1];
            c.failures = f[2];
            c.seenNs = f.length > 3 ? f[3] : f[0]; // An earlier version tells one mean.
        }
    }

    private static void take(Kind k, double[] f) {
        if (k != null) {
            k.slots = f[0];
            k.pace = f[1];
            k.served = (long) f[2];
            k.waitedNs = f.length > 3 ? f[3] : 0; // An earlier version tells no wait.
        }
    }

    private static void take(long nowNs, Node n, double[] f) {
        if (n != null) {
            n.failures = f[0];
            n.ejectedUntilNs = nowNs + (long) f[1];
            n.ejections = (int) f[2];
            n.pace = f[3];
            n.paced = f[4];
            n.waitedNs = f[5];
            n.waitedAtNs = nowNs - (long) f[6];
            n.fullNs = nowNs - (long) Math.min(f[7], Long.MAX_VALUE / 4);
            n.untried = f[8] == 1;
        }
    }

    /**
     * They go on counting in their window. The whole of them: a part is used of a cold worker, and
     * none twice.
     */
    private static void cold(long nowNs, Node n, double[] f) {
        for (int i = 0; n != null && i + 1 < f.length; i += 2) {
            n.spendCold(nowNs - (long) f[i], f[i + 1]);
        }
    }

    private static Bucket bucket(long nowNs, double[] f, double share) {
        Bucket b = new Bucket(f[0] * share, nowNs - (long) f[3]);
        b.demandPerS = f[1] * share;
        b.failures = f[2];
        return b;
    }
}

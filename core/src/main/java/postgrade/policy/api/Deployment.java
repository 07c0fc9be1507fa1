package postgrade.policy.api;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Identifies the deployment that settings belong to, by the names in them. What was learnt under
 * one deployment's settings is of no use under another's, also where both call a class or a tenant
 * the same.
 *
 * @param names the names of each sort; a sort of which the settings name nothing is absent
 */
public record Deployment(Map<NameType, Set<String>> names) {

    /**
     * Sorts of names that identify a deployment. Classes do not: a deployment may replace all of
     * its own at once.
     */
    public enum NameType {
        TIER,
        KIND,
        ZONE,
        TENANT
    }

    /** Names nothing, and is the same as any other. */
    public static final Deployment UNNAMED = new Deployment(Map.of());

    /** This with these names of a sort, in place of those it had. */
    public Deployment with(NameType sort, Collection<String> some) {
        Map<NameType, Set<String>> all = new TreeMap<>(names);
        if (some.isEmpty()) {
            all.remove(sort);
        } else {
            all.put(sort, Collections.unmodifiableSet(new TreeSet<>(some)));
        }
        return new Deployment(Collections.unmodifiableMap(all));
    }

    /**
     * Whether both are one deployment. Names may come and go, so two that share a name of each sort
     * that both name are the same.
     */
    public boolean isSameAs(Deployment other) {
        return names.entrySet().stream()
                .allMatch(
                        e -> {
                            Set<String> others = other.names.get(e.getKey());
                            return others == null || !Collections.disjoint(e.getValue(), others);
                        });
    }
}

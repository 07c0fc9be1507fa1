package postgrade.policy.api;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Identifies the deployment that settings belong to by the names in them. State learned under one
 * deployment's settings must not be used under another's, even where both have a class or tenant of
 * the same name.
 *
 * @param names the names of each type; types without names are absent
 */
public record Deployment(Map<NameType, Set<String>> names) {

    /**
     * Types of names that identify a deployment. Class names do not, as a deployment may replace
     * all its classes at once.
     */
    public enum NameType {
        TIER,
        KIND,
        ZONE,
        TENANT
    }

    /** A deployment without names, which is the same as any other. */
    public static final Deployment UNNAMED = new Deployment(Map.of());

    /** Returns a copy in which these names of a type replace the former ones. */
    public Deployment with(NameType type, Collection<String> newNames) {
        Map<NameType, Set<String>> all = new TreeMap<>(names);
        if (newNames.isEmpty()) {
            all.remove(type);
        } else {
            all.put(type, Collections.unmodifiableSet(new TreeSet<>(newNames)));
        }
        return new Deployment(Collections.unmodifiableMap(all));
    }

    /**
     * Whether both are the same deployment: whether they share a name of each type that both have.
     * Names may be added and removed, so they need not be equal.
     */
    public boolean isSameAs(Deployment other) {
        return names.entrySet().stream()
                .allMatch(
                        entry -> {
                            Set<String> others = other.names.get(entry.getKey());
                            return others == null
                                    || !Collections.disjoint(entry.getValue(), others);
                        });
    }
}

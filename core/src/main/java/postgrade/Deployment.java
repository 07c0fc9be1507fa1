package postgrade;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Whose settings they are, told by the names in them. What was learnt under one customer's settings
 * is of no use under another's, also where both happen to call a class or a tenant the same.
 */
public record Deployment(Map<Sort, Set<String>> names) {

    /** Whom the names tell. Classes do not: one customer may replace all of its own at once. */
    public enum Sort {
        TIER,
        KIND,
        ZONE,
        TENANT
    }

    public static final Deployment UNNAMED = new Deployment(Map.of());

    public Deployment with(Sort sort, Collection<String> some) {
        Map<Sort, Set<String>> all = new TreeMap<>(names);
        if (some.isEmpty()) {
            all.remove(sort);
        } else {
            all.put(sort, Collections.unmodifiableSet(new TreeSet<>(some)));
        }
        return new Deployment(Collections.unmodifiableMap(all));
    }

    /**
     * Names may come and go under way; settings that share none of a sort that both name are
     * another deployment's.
     */
    public boolean same(Deployment other) {
        return names.entrySet().stream()
                .allMatch(
                        e -> {
                            Set<String> others = other.names.get(e.getKey());
                            return others == null || !Collections.disjoint(e.getValue(), others);
                        });
    }
}

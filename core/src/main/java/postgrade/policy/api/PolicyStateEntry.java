package postgrade.policy.api;

import java.util.Objects;

/**
 * One entry of the learned state that a process transfers to the next process of the same
 * dispatcher: the values of one object, for example a worker. Entries of unknown categories are
 * ignored, so that either process may be the newer version. Immutable.
 */
public final class PolicyStateEntry {

    private final String category;
    private final String name;
    private final double[] values;

    /**
     * Creates an entry with a copy of these values.
     *
     * @param category the category of the object, for example worker or tenant
     * @param name the name of the object, unique within the category
     * @param values the values, in the order that the category defines; copied
     */
    public PolicyStateEntry(String category, String name, double[] values) {
        this.category = Objects.requireNonNull(category, "category");
        this.name = Objects.requireNonNull(name, "name");
        this.values = values.clone();
    }

    /** Returns the category of the object. */
    public String category() {
        return category;
    }

    /** Returns the name of the object, unique within the category. */
    public String name() {
        return name;
    }

    /** Returns a copy of the values. */
    public double[] values() {
        return values.clone();
    }
}

package postgrade.policy.api;

import java.util.Objects;

/**
 * One row of what a process hands over to the next process of the same dispatcher: learnt figures
 * of one thing. Rows of an unknown category are ignored, so that either process may be the newer
 * version. Immutable.
 */
public final class PolicyStateEntry {

    private final String category;
    private final String name;
    private final double[] values;

    /**
     * A row with a copy of these figures.
     *
     * @param category what kind of thing it is, for example a worker or a tenant
     * @param name which one, unique within the category
     * @param values the figures, in the order that the category defines; copied
     */
    public PolicyStateEntry(String category, String name, double[] values) {
        this.category = Objects.requireNonNull(category, "category");
        this.name = Objects.requireNonNull(name, "name");
        this.values = values.clone();
    }

    /** What kind of thing it is. */
    public String category() {
        return category;
    }

    /** Which one, unique within the category. */
    public String name() {
        return name;
    }

    /** A copy of the figures. */
    public double[] values() {
        return values.clone();
    }
}

package postgrade.policy.api;

/**
 * One row of what a process hands over to the next process of the same dispatcher: learnt figures
 * of one thing. Rows of an unknown category are ignored, so that either process may be the newer
 * version.
 *
 * @param category what kind of thing it is, for example a worker or a tenant
 * @param name which one, unique within the category
 * @param values the figures, in the order that the category defines
 */
public record TransferredFigures(String category, String name, double[] values) {}

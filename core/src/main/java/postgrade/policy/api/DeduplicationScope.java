package postgrade.policy.api;

/** The workers among which repeats of a job are recognised and dropped. */
public enum DeduplicationScope {
    /** All workers. */
    ALL,
    /** The workers of one zone. */
    ZONE,
    /** The workers of one cell of a zone. */
    CELL;

    /** Whether {@code second} drops a repeat of a job that ran at {@code first}. */
    public boolean covers(WorkerInfo first, WorkerInfo second) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> first.zone().equals(second.zone());
            case CELL -> first.zone().equals(second.zone()) && first.cell() == second.cell();
        };
    }
}

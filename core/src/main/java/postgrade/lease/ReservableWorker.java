package postgrade.lease;

import postgrade.shared.Row;

/**
 * A worker with accelerators, as the replicated state knows it.
 *
 * @param accelerators configured number, with a version that only grows
 * @param start the latest reported start of the worker, in milliseconds as discovery counts
 * @param state the latest state reported for that start
 */
public record ReservableWorker(
        String worker,
        String site,
        String kind,
        long accelerators,
        long version,
        long start,
        State state) {

    /** A worker passes through these states in this order; a new start begins at the first. */
    public enum State {
        READY,
        DRAINING,
        OUT,
        GONE
    }

    static ReservableWorker of(String worker, Row row) {
        return new ReservableWorker(
                worker,
                row.text("site"),
                row.text("kind"),
                row.integer("accelerators"),
                row.integer("version"),
                row.integer("start"),
                State.valueOf(row.text("state")));
    }

    Row row() {
        return Row.of(
                "site",
                site,
                "kind",
                kind,
                "accelerators",
                accelerators,
                "version",
                version,
                "start",
                start,
                "state",
                state);
    }

    boolean matches(ReservationRequest request) {
        return (request.site().isEmpty() || request.site().equals(site))
                && (request.kind().isEmpty() || request.kind().equals(kind));
    }

    boolean ready() {
        return state == State.READY;
    }
}

package postgrade.lease;

import java.util.Map;
import postgrade.lease.ReservableWorker.State;
import postgrade.shared.Answer;
import postgrade.shared.Moment;
import postgrade.shared.Row;

/**
 * Commands that change what can be reserved. Workers and their accelerators are set by
 * configuration or by command, each with a version that only grows, so that a late or repeated
 * command never undoes a newer one. Their presence comes from discovery, ordered by the worker's
 * start and by its progress through the states since.
 */
final class CapacityCommands {

    private static final int MAX_WORKERS = 4000;

    private final ReservationTable table;
    private final Moment at;

    CapacityCommands(ReservationTable table, Moment at) {
        this.table = table;
        this.at = at;
    }

    /** Sets a worker's accelerators. A holder loses those that the worker no longer has. */
    Answer setWorker(Row args) {
        String worker = ReservationRequest.validName(args, "worker");
        String site = ReservationRequest.validName(args, "site");
        String kind = ReservationRequest.validName(args, "kind");
        long accelerators = args.integer("accelerators", 0, Allotment.MAX_PER_WORKER);
        long version = args.integer("version", 0, Long.MAX_VALUE);
        ReservableWorker previous = table.worker(worker);
        if (previous == null && table.workerCount() >= MAX_WORKERS) {
            return Answer.conflict(
                    "worker "
                            + worker
                            + " is one more than the "
                            + MAX_WORKERS
                            + " that there may be");
        }
        ReservableWorker updated =
                new ReservableWorker(
                        worker,
                        site,
                        kind,
                        accelerators,
                        version,
                        previous == null ? 0 : previous.start(),
                        previous == null ? State.READY : previous.state());
        if (updated.equals(previous)) {
            return Answer.done("as it was", Row.EMPTY);
        }
        if (previous != null && version <= previous.version()) {
            return Answer.conflict("version must be above " + previous.version());
        }
        table.put(updated);
        boolean relocated =
                previous != null
                        && (!previous.site().equals(site) || !previous.kind().equals(kind));
        reduceGrants(worker, relocated ? 0 : Allotment.lowestBits(accelerators));
        return Answer.done("set", Row.of("worker", worker, "version", version));
    }

    /**
     * Takes accelerators that no longer exist from their holders; they rest, in case they return
     * soon.
     */
    private void reduceGrants(String worker, long remainingMask) {
        for (Grant grant : table.grants()) {
            long lost = grant.allotment().on(worker) & ~remainingMask;
            if (lost != 0) {
                table.startRest(
                        grant,
                        new Allotment(Map.of(worker, lost)),
                        at.index(),
                        ReservationTable.PENDING);
                Grant remaining =
                        grant.withAllotment(grant.allotment().restrictedTo(worker, remainingMask));
                if (remaining.allotment().size() == 0) {
                    table.removeGrant(grant);
                } else {
                    table.put(remaining);
                }
            }
        }
    }

    /**
     * Discovery or an operator reports a worker's state. While the worker is absent its holders
     * keep it and it is granted to nobody.
     */
    Answer updatePresence(Row args) {
        String worker = ReservationRequest.validName(args, "worker");
        long start = args.integer("start", 0, Long.MAX_VALUE);
        State state;
        try {
            state = State.valueOf(args.text("state"));
        } catch (IllegalArgumentException e) {
            return Answer.faulty("state must be READY, DRAINING, OUT or GONE");
        }
        ReservableWorker known = table.worker(worker);
        if (known == null) {
            return Answer.unknown("worker " + worker + " has no accelerators set");
        }
        boolean later =
                start > known.start()
                        || start == known.start() && state.compareTo(known.state()) > 0;
        if (!later) {
            return start == known.start() && state == known.state()
                    ? Answer.done("as it was", Row.EMPTY)
                    : Answer.conflict(
                            "start and state are earlier than what was told of " + worker);
        }
        table.put(
                new ReservableWorker(
                        worker,
                        known.site(),
                        known.kind(),
                        known.accelerators(),
                        known.version(),
                        start,
                        state));
        return Answer.done("told", Row.EMPTY);
    }

    /**
     * Limits the thousandths of a kind's ready accelerators that may be reserved at once; existing
     * grants stay.
     */
    Answer setKindLimit(Row args) {
        String kind = ReservationRequest.validName(args, "kind");
        long perMille = args.integer("perMille", 0, 1000);
        long version = args.integer("version", 0, Long.MAX_VALUE);
        Row previous = table.kindLimit(kind);
        Row updated = Row.of("perMille", perMille, "version", version);
        if (!updated.equals(previous)) {
            if (previous != null && version <= previous.integer("version")) {
                return Answer.conflict("version must be above " + previous.integer("version"));
            }
            table.kindLimit(kind, updated);
        }
        return Answer.done("set", updated);
    }
}

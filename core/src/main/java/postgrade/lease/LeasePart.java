package postgrade.lease;

import postgrade.lease.ReservationTable.QueueEntry;
import postgrade.lease.ReservationTable.RestingAccelerators;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * Reservations of accelerators in the replicated state. A request joins a queue, which is served in
 * order whenever accelerators become free. Accelerators of a grant that ends by expiry, by release
 * or by the loss of a worker rest for the grace period before they are granted again, because
 * dispatchers with an older view go on using them for that long.
 */
public final class LeasePart implements StatePart {

    public static final String NAME = "lease";
    private static final int MAX_ROWS = 2000;

    private final LeaseTimes times;

    public LeasePart(LeaseTimes times) {
        this.times = times;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command command) {
        ReservationTable table = new ReservationTable(rows);
        Row args = command.args();
        CapacityCommands capacity = new CapacityCommands(table, at);
        Answer answer =
                switch (command.verb()) {
                    case "acquire" -> acquire(table, at, args);
                    case "renew" -> renew(table, at, args);
                    case "release" -> release(table, at, args);
                    case "unit" -> capacity.setWorker(args);
                    case "presence" -> capacity.updatePresence(args);
                    case "part" -> capacity.setKindLimit(args);
                    default -> Answer.unknown("there is no " + command.verb() + " of reservations");
                };
        if (answer.status() == Answer.Status.DONE && table.anyWaiting()) {
            new GrantPass(table, at, false).run();
        }
        // This command itself may have served an entry of the queue.
        return command.verb().equals("acquire") && answer.status() == Answer.Status.DONE
                ? requestState(table, at, args)
                : answer;
    }

    @Override
    public void advance(Rows rows, Moment at) {
        ReservationTable table = new ReservationTable(rows);
        boolean freed = false;
        for (RestingAccelerators resting : table.resting()) {
            if (resting.untilMicros() == ReservationTable.PENDING) {
                table.setRestEnd(resting, at.micros() + times.graceMicros());
            } else if (resting.untilMicros() <= at.micros()) {
                table.endRest(resting);
                freed = true;
            }
        }
        for (Grant grant : table.grants()) {
            if (grant.untilMicros() == ReservationTable.PENDING) {
                table.put(grant.withEnd(at.micros() + grant.request().ttlMicros()));
            } else if (grant.untilMicros() <= at.micros()) {
                endGrant(table, at, grant, at.micros() + times.graceMicros());
            }
        }
        for (QueueEntry entry : table.queue()) {
            if (entry.untilMicros() == ReservationTable.PENDING) {
                table.put(
                        new QueueEntry(
                                entry.key(),
                                entry.request(),
                                at.micros() + entry.request().ttlMicros()));
            } else if (entry.untilMicros() <= at.micros()) {
                table.dequeue(entry);
                freed = true;
            }
        }
        if (freed && table.anyWaiting()) {
            new GrantPass(table, at, true).run();
        }
    }

    private static void endGrant(
            ReservationTable table, Moment at, Grant grant, long restUntilMicros) {
        table.removeGrant(grant);
        table.startRest(grant, grant.allotment(), at.index(), restUntilMicros);
    }

    // ---- Acquire.

    private Answer acquire(ReservationTable table, Moment at, Row args) {
        ReservationRequest request = ReservationRequest.fromArguments(args);
        boolean mayWait = args.integer("wait", 1) != 0;
        Grant grant = table.grant(request.key());
        if (grant != null) {
            return reacquire(table, at, grant, request);
        }
        QueueEntry entry = table.queueEntry(request.key());
        if (entry != null) {
            return updateQueueEntry(table, entry, request);
        }
        long maxGrantable = GrantPass.maxGrantable(table, request, true);
        if (request.accelerators() > maxGrantable) {
            return Answer.conflict("accelerators must be at most " + maxGrantable + " here");
        }
        if (table.grantAndQueueCount() >= MAX_ROWS) {
            return Answer.conflict(
                    "holder would be one more than the " + MAX_ROWS + " that may hold or wait");
        }
        QueueEntry newEntry =
                new QueueEntry(
                        String.format("%019d", at.fence()), request, ReservationTable.PENDING);
        table.put(newEntry);
        new GrantPass(table, at, false).run();
        if (!mayWait && table.grant(request.key()) == null) {
            table.dequeue(newEntry);
            return Answer.conflict("accelerators: there are not so many free now");
        }
        return Answer.done("", Row.EMPTY);
    }

    /**
     * The holder repeats its request: a repetition by the same incarnation, or a restarted one
     * without its former state.
     */
    private static Answer reacquire(
            ReservationTable table, Moment at, Grant grant, ReservationRequest request) {
        ReservationRequest previous = grant.request();
        if (request.incarnation() < previous.incarnation()) {
            return olderIncarnation(previous);
        }
        if (request.accelerators() != previous.accelerators()) {
            return Answer.conflict(
                    "accelerators differs from the "
                            + previous.accelerators()
                            + " that are held; release them first");
        }
        // A new incarnation gets a new fence: workers reject what the former one still has in
        // flight.
        long fence = request.incarnation() > previous.incarnation() ? at.fence() : grant.fence();
        table.put(
                new Grant(
                        request,
                        fence,
                        grant.sinceMicros(),
                        ReservationTable.PENDING,
                        grant.allotment()));
        return Answer.done("", Row.EMPTY);
    }

    private static Answer updateQueueEntry(
            ReservationTable table, QueueEntry entry, ReservationRequest request) {
        if (request.incarnation() < entry.request().incarnation()) {
            return olderIncarnation(entry.request());
        }
        if (request.accelerators() != entry.request().accelerators()) {
            return Answer.conflict(
                    "accelerators differs from the "
                            + entry.request().accelerators()
                            + " that are waited for; release the place first");
        }
        table.put(new QueueEntry(entry.key(), request, ReservationTable.PENDING));
        return Answer.done("", Row.EMPTY);
    }

    private static Answer olderIncarnation(ReservationRequest known) {
        return Answer.conflict(
                "incarnation is below " + known.incarnation() + ", which has come since");
    }

    private static Answer requestState(ReservationTable table, Moment at, Row args) {
        ReservationRequest identity = ReservationRequest.identity(args);
        Grant grant = table.grant(identity.key());
        if (grant != null) {
            return Answer.done("granted", grantFields(grant, at));
        }
        QueueEntry entry = table.queueEntry(identity.key());
        long aheadCount =
                table.queue().stream()
                        .filter(other -> other.key().compareTo(entry.key()) < 0)
                        .count();
        return Answer.done(
                "waiting",
                Row.of(
                        "state",
                        "waiting",
                        "place",
                        aheadCount + 1,
                        "renewWithinMs",
                        entry.request().ttlMicros() / 1000));
    }

    private static Row grantFields(Grant grant, Moment at) {
        return Row.of(
                "state",
                "granted",
                "fence",
                grant.fence(),
                "accelerators",
                grant.allotment().size(),
                "allotment",
                grant.allotment(),
                "renewWithinMs",
                grant.remainingMicros(at.micros()) / 1000);
    }

    // ---- Renew and release.

    private static Answer renew(ReservationTable table, Moment at, Row args) {
        ReservationRequest identity = ReservationRequest.identity(args);
        Grant grant = table.grant(identity.key());
        QueueEntry entry = grant == null ? table.queueEntry(identity.key()) : null;
        ReservationRequest known =
                grant != null ? grant.request() : entry != null ? entry.request() : null;
        if (known == null) {
            return Answer.unknown(
                    "holder " + identity.holder() + " holds nothing here and does not wait");
        }
        if (identity.incarnation() != known.incarnation()) {
            return identity.incarnation() < known.incarnation()
                    ? olderIncarnation(known)
                    : Answer.conflict("incarnation is not that of the grant; acquire again");
        }
        if (entry != null) {
            table.put(new QueueEntry(entry.key(), known, ReservationTable.PENDING));
            return requestState(table, at, args);
        }
        if (args.integer("fence") != grant.fence()) {
            return Answer.conflict("fence is not that of the present grant");
        }
        Grant renewed = grant.withEnd(ReservationTable.PENDING);
        table.put(renewed);
        return Answer.done("renewed", grantFields(renewed, at));
    }

    /**
     * Ends a grant or a queue entry. A late release never ends a later grant; one that arrives
     * after the expiry is answered as done.
     */
    private Answer release(ReservationTable table, Moment at, Row args) {
        ReservationRequest identity = ReservationRequest.identity(args);
        boolean force = args.integer("force", 0) != 0;
        Grant grant = table.grant(identity.key());
        if (grant == null) {
            QueueEntry entry = table.queueEntry(identity.key());
            if (entry != null) {
                if (!force && identity.incarnation() < entry.request().incarnation()) {
                    return olderIncarnation(entry.request());
                }
                table.dequeue(entry);
                return Answer.done("left the line", Row.EMPTY);
            }
            return args.has("fence") && table.endedRecently(identity.key(), args.integer("fence"))
                    ? Answer.done("had ended", Row.EMPTY)
                    : Answer.unknown(
                            "holder "
                                    + identity.holder()
                                    + " holds nothing here and does not wait");
        }
        if (!force && identity.incarnation() < grant.request().incarnation()) {
            return olderIncarnation(grant.request());
        }
        if (!force && args.integer("fence") != grant.fence()) {
            return Answer.conflict("fence is not that of the present grant");
        }
        endGrant(table, at, grant, ReservationTable.PENDING);
        return Answer.done(
                "released", Row.of("fence", grant.fence(), "freeInMs", times.graceMicros() / 1000));
    }
}

package postgrade.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * Typed access to the rows of reservations. They are in several parts, so that rows which are read
 * often stay few.
 */
final class ReservationTable {

    static final String GRANTS = "lease";
    static final String QUEUE = "lease.waiting";
    static final String RESTING = "lease.resting";
    static final String WORKERS = "lease.unit";
    static final String KIND_LIMITS = "lease.part";

    /**
     * The end is not set until the next entry that advances log time: a duration that a command
     * begins is counted from that entry. If it were counted from the entry before, time that passed
     * before the command would be taken off it.
     */
    static final long PENDING = 0;

    /** An entry of the queue; keys grow in the order of the requests. */
    record QueueEntry(String key, ReservationRequest request, long untilMicros) {}

    /**
     * Accelerators that belong to nobody yet: a process with an older view may still use them for
     * their last holder.
     */
    record RestingAccelerators(String key, long untilMicros, Allotment allotment) {}

    private final Rows rows;

    ReservationTable(Rows rows) {
        this.rows = rows;
    }

    Grant grant(String key) {
        Row row = rows.get(GRANTS, key);
        return row == null ? null : Grant.of(row);
    }

    List<Grant> grants() {
        return rows.ofPart(GRANTS).values().stream().map(Grant::of).toList();
    }

    void put(Grant grant) {
        rows.put(GRANTS, grant.request().key(), grant.row());
    }

    List<QueueEntry> queue() {
        List<QueueEntry> queue = new ArrayList<>();
        rows.ofPart(QUEUE)
                .forEach(
                        (key, row) ->
                                queue.add(
                                        new QueueEntry(
                                                key,
                                                ReservationRequest.fromRow(row),
                                                row.integer("until"))));
        return queue;
    }

    QueueEntry queueEntry(String requestKey) {
        return queue().stream()
                .filter(entry -> entry.request.key().equals(requestKey))
                .findFirst()
                .orElse(null);
    }

    void put(QueueEntry entry) {
        rows.put(QUEUE, entry.key, entry.request.row().with("until", entry.untilMicros));
    }

    void dequeue(QueueEntry entry) {
        rows.remove(QUEUE, entry.key);
    }

    List<RestingAccelerators> resting() {
        List<RestingAccelerators> all = new ArrayList<>();
        rows.ofPart(RESTING)
                .forEach(
                        (key, row) ->
                                all.add(
                                        new RestingAccelerators(
                                                key,
                                                row.integer("until"),
                                                Allotment.of(row.text("allotment")))));
        return all;
    }

    /** The grant has ended, wholly or in part, and these accelerators begin to rest. */
    void startRest(Grant grant, Allotment allotment, long entryIndex, long untilMicros) {
        if (allotment.size() > 0) {
            rows.put(
                    RESTING,
                    grant.request().key() + "|" + grant.fence() + "|" + entryIndex,
                    Row.of("until", untilMicros, "allotment", allotment));
        }
    }

    void setRestEnd(RestingAccelerators resting, long untilMicros) {
        rows.put(
                RESTING, resting.key, Row.of("until", untilMicros, "allotment", resting.allotment));
    }

    void endRest(RestingAccelerators resting) {
        rows.remove(RESTING, resting.key);
    }

    boolean endedRecently(String requestKey, long fence) {
        return resting().stream()
                .anyMatch(resting -> resting.key.startsWith(requestKey + "|" + fence + "|"));
    }

    void removeGrant(Grant grant) {
        rows.remove(GRANTS, grant.request().key());
    }

    ReservableWorker worker(String worker) {
        Row row = rows.get(WORKERS, worker);
        return row == null ? null : ReservableWorker.of(worker, row);
    }

    List<ReservableWorker> workers() {
        List<ReservableWorker> workers = new ArrayList<>();
        rows.ofPart(WORKERS)
                .forEach((worker, row) -> workers.add(ReservableWorker.of(worker, row)));
        return workers;
    }

    void put(ReservableWorker worker) {
        rows.put(WORKERS, worker.worker(), worker.row());
    }

    Row kindLimit(String kind) {
        return rows.get(KIND_LIMITS, kind);
    }

    void kindLimit(String kind, Row row) {
        rows.put(KIND_LIMITS, kind, row);
    }

    boolean anyWaiting() {
        return rows.count(QUEUE) > 0;
    }

    int grantAndQueueCount() {
        return rows.count(GRANTS) + rows.count(QUEUE);
    }

    int workerCount() {
        return rows.count(WORKERS);
    }

    /** All accelerators that are granted or resting, by worker. */
    Map<String, Long> unavailable() {
        Map<String, Long> masks = new TreeMap<>();
        grants().forEach(
                        grant ->
                                grant.allotment()
                                        .masks()
                                        .forEach(
                                                (worker, mask) ->
                                                        masks.merge(
                                                                worker, mask, (a, b) -> a | b)));
        resting()
                .forEach(
                        resting ->
                                resting.allotment
                                        .masks()
                                        .forEach(
                                                (worker, mask) ->
                                                        masks.merge(
                                                                worker, mask, (a, b) -> a | b)));
        return masks;
    }
}

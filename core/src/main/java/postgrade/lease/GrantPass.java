package postgrade.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import postgrade.lease.ReservationTable.QueueEntry;
import postgrade.shared.Moment;
import postgrade.shared.Row;

/**
 * Walks the queue and grants what is free. A later request never overtakes an earlier one that
 * wants any of the same workers: what the earlier one waits for is held back from the later ones. A
 * request that could not be granted even if all accelerators were free, because workers are absent,
 * keeps its place and blocks no other.
 */
final class GrantPass {

    private static final int PER_MILLE = 1000;

    private final ReservationTable table;
    private final Moment at;
    private final boolean advancesTime;
    private final List<ReservableWorker> workers;
    private final Map<String, Long> unavailable;

    /** For each kind with a limit: how many accelerators may still be reserved. */
    private final Map<String, Long> remainingByKind = new TreeMap<>();

    private final Set<String> heldBackWorkers = new HashSet<>();
    private final Set<String> heldBackKinds = new HashSet<>();

    /**
     * @param advancesTime the current entry advances log time
     */
    GrantPass(ReservationTable table, Moment at, boolean advancesTime) {
        this.table = table;
        this.at = at;
        this.advancesTime = advancesTime;
        workers = table.workers();
        unavailable = table.unavailable();
        for (ReservableWorker worker : workers) {
            if (table.kindLimit(worker.kind()) != null) {
                // Grants on absent workers count too: the workers may return.
                remainingByKind.computeIfAbsent(
                        worker.kind(), kind -> reservableOfKind(table, workers, kind, false));
                deduct(remainingByKind, worker.kind(), Long.bitCount(unavailableOn(worker)));
            }
        }
    }

    private static void deduct(Map<String, Long> remaining, String kind, long count) {
        remaining.computeIfPresent(kind, (k, left) -> left - count);
    }

    private long unavailableOn(ReservableWorker worker) {
        return unavailable.getOrDefault(worker.worker(), 0L);
    }

    /**
     * How many accelerators of a kind may be reserved, of the ready ones or of all configured ones.
     */
    private static long reservableOfKind(
            ReservationTable table,
            List<ReservableWorker> workers,
            String kind,
            boolean includeAbsent) {
        long configured =
                workers.stream()
                        .filter(
                                worker ->
                                        worker.kind().equals(kind)
                                                && (includeAbsent || worker.ready()))
                        .mapToLong(ReservableWorker::accelerators)
                        .sum();
        Row limit = table.kindLimit(kind);
        return limit == null ? configured : configured * limit.integer("perMille") / PER_MILLE;
    }

    /**
     * The most that could ever be granted to this request while all configured workers are present.
     */
    static long maxGrantable(
            ReservationTable table, ReservationRequest request, boolean includeAbsent) {
        List<ReservableWorker> workers = table.workers();
        Map<String, Long> matchingByKind = new TreeMap<>();
        workers.stream()
                .filter(worker -> worker.matches(request) && (includeAbsent || worker.ready()))
                .forEach(
                        worker ->
                                matchingByKind.merge(
                                        worker.kind(), worker.accelerators(), Long::sum));
        return matchingByKind.entrySet().stream()
                .mapToLong(
                        kindCount ->
                                Math.min(
                                        kindCount.getValue(),
                                        reservableOfKind(
                                                table, workers, kindCount.getKey(), includeAbsent)))
                .sum();
    }

    void run() {
        for (QueueEntry entry : table.queue()) {
            ReservationRequest request = entry.request();
            Allotment allotment = findAllotment(request);
            if (allotment != null) {
                table.dequeue(entry);
                table.put(
                        new Grant(
                                request,
                                at.fence(),
                                at.micros(),
                                advancesTime
                                        ? at.micros() + request.ttlMicros()
                                        : ReservationTable.PENDING,
                                allotment));
                for (Map.Entry<String, Long> workerMask : allotment.masks().entrySet()) {
                    unavailable.merge(workerMask.getKey(), workerMask.getValue(), (a, b) -> a | b);
                    deduct(
                            remainingByKind,
                            table.worker(workerMask.getKey()).kind(),
                            Long.bitCount(workerMask.getValue()));
                }
            } else if (maxGrantable(table, request, false) >= request.accelerators()) {
                workers.stream()
                        .filter(worker -> worker.matches(request))
                        .forEach(
                                worker -> {
                                    heldBackWorkers.add(worker.worker());
                                    heldBackKinds.add(worker.kind());
                                });
            }
        }
    }

    /**
     * Takes workers in the order of their ids and the lowest accelerators of each first; null if
     * there are too few.
     */
    private Allotment findAllotment(ReservationRequest request) {
        Map<String, Long> found = new TreeMap<>();
        Map<String, Long> remaining = new TreeMap<>(remainingByKind);
        long wanted = request.accelerators();
        for (ReservableWorker worker : workers) {
            if (wanted == 0) {
                break;
            }
            if (!worker.matches(request)
                    || !worker.ready()
                    || heldBackWorkers.contains(worker.worker())
                    || heldBackKinds.contains(worker.kind())
                            && remainingByKind.containsKey(worker.kind())) {
                continue;
            }
            long free = Allotment.lowestBits(worker.accelerators()) & ~unavailableOn(worker);
            long count =
                    Math.min(
                            wanted,
                            Math.min(
                                    Long.bitCount(free),
                                    Math.max(
                                            0,
                                            remaining.getOrDefault(
                                                    worker.kind(), Long.MAX_VALUE))));
            long mask = 0;
            for (long i = 0; i < count; i++) {
                mask |= Long.lowestOneBit(free & ~mask);
            }
            found.put(worker.worker(), mask);
            deduct(remaining, worker.kind(), count);
            wanted -= count;
        }
        return wanted == 0 ? new Allotment(found) : null;
    }
}

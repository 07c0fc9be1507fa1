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
 * Goes down the line and grants what is free. Nobody is overtaken by who came later and wants any
 * of the same workers: what an earlier one waits for is kept from the later ones. One that could
 * not be served even if nobody held anything, since workers are away, keeps its place and holds up
 * nobody.
 */
final class GrantPass {

    private static final int PER_MILLE = 1000;

    private final ReservationTable table;
    private final Moment at;
    private final boolean advancesTime;
    private final List<ReservableWorker> workers;
    private final Map<String, Long> unavailable;

    /** Of each kind of which a part alone may be reserved: how much of that is left. */
    private final Map<String, Long> remainingByKind = new TreeMap<>();

    private final Set<String> heldBackWorkers = new HashSet<>();
    private final Set<String> heldBackKinds = new HashSet<>();

    /**
     * @param clock the entry is one that moves the time on
     */
    GrantPass(ReservationTable table, Moment at, boolean advancesTime) {
        this.table = table;
        this.at = at;
        this.advancesTime = advancesTime;
        workers = table.workers();
        unavailable = table.unavailable();
        for (ReservableWorker worker : workers) {
            if (table.kindLimit(worker.kind()) != null) {
                // Also what is held of workers that are away: they may come back.
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

    /** How much of a kind may be reserved, of what is ready or of all that is configured. */
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
     * The most that one could ever be granted of this while the configured workers are all there.
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
                        e ->
                                Math.min(
                                        e.getValue(),
                                        reservableOfKind(
                                                table, workers, e.getKey(), includeAbsent)))
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
     * Workers in the order of their ids, the lowest accelerators of each first; null where there
     * are too few.
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

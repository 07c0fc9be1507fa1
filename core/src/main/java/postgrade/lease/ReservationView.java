package postgrade.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.shared.View;

/**
 * The reservations of one view, by holder and worker. Immutable; made anew for each view. A
 * holder's privilege is used while the view is fresh by this process's own clock, which ends before
 * anybody else may be granted the same.
 */
public final class ReservationView {

    /** A holder's accelerators of one worker under one grant. */
    public record Use(String holder, long mask, long fence, long neededMicros) {}

    private final View view;
    private final LeaseTimes times;
    private final Map<String, ReservableWorker> workers = new HashMap<>();
    private final Map<String, List<Use>> byWorker = new HashMap<>();
    private final Set<String> holders = new HashSet<>();

    public ReservationView(View view, LeaseTimes times) {
        this.view = view;
        this.times = times;
        ReservationTable table = new ReservationTable(view.rows());
        table.workers().forEach(worker -> workers.put(worker.worker(), worker));
        for (Grant grant : table.grants()) {
            holders.add(grant.request().holder());
            grant.allotment()
                    .masks()
                    .forEach(
                            (worker, mask) ->
                                    byWorker.computeIfAbsent(worker, id -> new ArrayList<>())
                                            .add(
                                                    new Use(
                                                            grant.request().holder(),
                                                            mask,
                                                            grant.fence(),
                                                            grant.neededMicros())));
        }
    }

    public View view() {
        return view;
    }

    public boolean fresh(long nowMicros) {
        return view.known() && times.fresh(view.ageMicros(nowMicros));
    }

    /** The log's time that it may be by now; it runs on no faster than this. */
    long logMicros(long nowMicros) {
        return view.moment().micros()
                + (long) (view.ageMicros(nowMicros) * times.clockRatio())
                + times.uncommittedMicros();
    }

    /** What a holder may use at a worker now; none where the view is too old. */
    public List<Use> usable(long nowMicros, String holder, String worker) {
        if (holder == null || !fresh(nowMicros)) {
            return List.of();
        }
        return usesOn(worker).stream().filter(use -> use.holder.equals(holder)).toList();
    }

    /** Whoever has something at this worker by the view, however old it is. */
    List<Use> usesOn(String worker) {
        return byWorker.getOrDefault(worker, List.of());
    }

    boolean isHolder(String holder) {
        return holder != null && holders.contains(holder);
    }

    /** Accelerators of a worker as the shared state knows them; 0 where it knows none. */
    long accelerators(String worker) {
        ReservableWorker known = workers.get(worker);
        return known == null ? 0 : known.accelerators();
    }
}

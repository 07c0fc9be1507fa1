package postgrade.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.shared.View;

/**
 * The reservations of one view, indexed by holder and worker. Immutable; rebuilt for each view. A
 * holder's privilege is used while the view is fresh by this process's own clock, and that ends
 * before the same accelerators can be granted to another holder.
 */
public final class ReservationView {

    /** A holder's accelerators at one worker under one grant. */
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

    /** Upper bound of the present log time. */
    long logMicros(long nowMicros) {
        return view.moment().micros()
                + (long) (view.ageMicros(nowMicros) * times.clockRatio())
                + times.uncommittedMicros();
    }

    /** What a holder may use at a worker now; empty if the view is too old. */
    public List<Use> usable(long nowMicros, String holder, String worker) {
        if (holder == null || !fresh(nowMicros)) {
            return List.of();
        }
        return usesOn(worker).stream().filter(use -> use.holder.equals(holder)).toList();
    }

    /** All uses of this worker by the view, however old the view is. */
    List<Use> usesOn(String worker) {
        return byWorker.getOrDefault(worker, List.of());
    }

    boolean isHolder(String holder) {
        return holder != null && holders.contains(holder);
    }

    /** The accelerators of a worker by the replicated state; 0 if it is not known there. */
    long accelerators(String worker) {
        ReservableWorker known = workers.get(worker);
        return known == null ? 0 : known.accelerators();
    }
}

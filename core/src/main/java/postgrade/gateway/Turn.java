package postgrade.gateway;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * What one turn of the loop hands to the module, in order, and what the module decides over it.
 * Events are handed over in one go, those that concern the list first, and only then are the
 * actions carried out.
 */
final class Turn {

    private static final long NANOS = 1_000;

    private final Timers timers;
    private final Faults faults;
    private final ArrayDeque<LongConsumer> lists = new ArrayDeque<>();
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();

    Turn(Timers timers, Faults faults) {
        this.timers = timers;
        this.faults = faults;
    }

    /** Before all events: the list, and what else holds for all of them. */
    void first(LongConsumer event) {
        lists.add(event);
    }

    void event(LongConsumer event) {
        events.add(event);
    }

    /** Once the module has heard all events of the turn. */
    void action(Runnable action) {
        actions.add(action);
    }

    boolean pending() {
        return !events.isEmpty() || !lists.isEmpty();
    }

    void take() {
        // Guards the drain rule: what the list says of a worker is known before anything is sent in
        // this turn.
        handOver(lists);
        handOver(events);
        for (Runnable action = actions.poll(); action != null; action = actions.poll()) {
            action.run();
        }
    }

    private void handOver(ArrayDeque<LongConsumer> queue) {
        long nowNs = timers.nowMicros() * NANOS;
        for (LongConsumer event = queue.poll(); event != null; event = queue.poll()) {
            try {
                event.accept(nowNs);
            } catch (RuntimeException e) {
                faults.fault(Faults.EVENT_FAILED, "the module failed on an event", e);
            }
        }
    }
}

package postgrade.dispatch;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * The events that one event loop iteration delivers to the policy, and the actions that the policy
 * decides on. All events are delivered first, those of the worker list and the settings before the
 * others; then the actions are executed in order.
 */
final class EventBatch {

    private static final long NANOS_PER_MICRO = 1_000;

    private final Timers timers;
    private final InternalErrorListener errors;
    private final ArrayDeque<LongConsumer> priorityEvents = new ArrayDeque<>();
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();

    EventBatch(Timers timers, InternalErrorListener errors) {
        this.timers = timers;
        this.errors = errors;
    }

    /**
     * Adds an event that is delivered before the other events of the iteration. Its argument is the
     * time in nanoseconds.
     */
    void addPriorityEvent(LongConsumer event) {
        priorityEvents.add(event);
    }

    /** Adds an event. Its argument is the time in nanoseconds. */
    void addEvent(LongConsumer event) {
        events.add(event);
    }

    /** Adds an action, which is executed once all events of the iteration have been delivered. */
    void addAction(Runnable action) {
        actions.add(action);
    }

    boolean hasEvents() {
        return !events.isEmpty() || !priorityEvents.isEmpty();
    }

    /**
     * Delivers the events and executes the actions. Events that an action causes are delivered in
     * the next iteration.
     */
    void run() {
        // The policy must know of a drain in the worker list before it sends anything in this
        // iteration.
        deliver(priorityEvents);
        deliver(events);
        for (Runnable action = actions.poll(); action != null; action = actions.poll()) {
            action.run();
        }
    }

    private void deliver(ArrayDeque<LongConsumer> queue) {
        long nowNs = timers.nowMicros() * NANOS_PER_MICRO;
        for (LongConsumer event = queue.poll(); event != null; event = queue.poll()) {
            try {
                event.accept(nowNs);
            } catch (RuntimeException thrown) {
                errors.internalError(
                        InternalErrorListener.EVENT_FAILED,
                        "the policy threw an exception on an event",
                        thrown);
            }
        }
    }
}

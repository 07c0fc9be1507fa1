package postgrade.dispatch;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * The events that one turn of the loop delivers to the policy, and the actions that the policy
 * decides on. Events are delivered in one go, those of the worker list and the settings first; only
 * then are the actions carried out, each in its order.
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

    /** Adds an event that holds for all others of the turn. It is given the time in nanoseconds. */
    void addPriorityEvent(LongConsumer event) {
        priorityEvents.add(event);
    }

    /** Adds an event. It is given the time in nanoseconds. */
    void addEvent(LongConsumer event) {
        events.add(event);
    }

    /** Adds an action, to be carried out once all events of the turn have been delivered. */
    void addAction(Runnable action) {
        actions.add(action);
    }

    boolean hasEvents() {
        return !events.isEmpty() || !priorityEvents.isEmpty();
    }

    /**
     * Delivers the events and carries out the actions. What an action brings about is an event of
     * the next turn.
     */
    void run() {
        // A drain that the list tells is known before anything is sent in this turn.
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
                        "the module failed on an event",
                        thrown);
            }
        }
    }
}

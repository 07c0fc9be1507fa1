package postgrade.rig.schedule;

/**
 * One fault of a schedule.
 *
 * @param micros offset from the start or from the event
 * @param event empty, or {@code process kind}: the offset counts from the first such event after
 *     the start
 * @param action what is done, such as kill or cut
 * @param target process that it is done to
 * @param to other process of a faulty link; empty for all other faults
 * @param amount size of the fault, if it has one
 */
public record Step(
        long micros, String event, String action, String target, String to, double amount) {}

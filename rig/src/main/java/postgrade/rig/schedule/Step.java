package postgrade.rig.schedule;

/**
 * One fault of a timetable.
 *
 * @param micros after the beginning, or after the event
 * @param event empty, or {@code process kind}: the first such event from the beginning on starts
 *     the count
 * @param act what is done, such as kill or cut
 * @param who to whom
 * @param to the other end of what lies between two; empty for all others
 * @param figure how much, where the fault has a measure
 */
public record Step(
        long micros, String event, String action, String target, String to, double amount) {}

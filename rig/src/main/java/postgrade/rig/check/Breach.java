package postgrade.rig.check;

/**
 * One violation that a checker found.
 *
 * @param what name of the rule
 * @param micros when it happened; the index for the checks of the log
 * @param who process, job, tenant or key that it concerns
 */
public record Breach(String what, long micros, String who, String detail) {}

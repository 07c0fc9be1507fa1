package postgrade.rig.check;

/**
 * One thing that must not have been. @param what rule @param micros when @param who whom it
 * concerns
 */
public record Breach(String what, long micros, String who, String detail) {}

package postgrade.rig.proxy;

/** Whose bytes: those of whoever connects, or those of whoever listens. */
public enum Direction {
    OUT,
    BACK
}

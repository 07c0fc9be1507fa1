package postgrade.rig.proxy;

/** Direction of the bytes: OUT from the connecting side, BACK from the listening side. */
public enum Direction {
    OUT,
    BACK
}

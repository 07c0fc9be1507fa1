package postgrade.recovery;

/** How far a process has come back after a start or a fault. */
public enum RecoveryPhase {
    /** Knows nothing but its settings. */
    EMPTY,
    /** Goes by what it learnt before, as far as that may be trusted. */
    REMEMBERING,
    /** Has a list of workers, and waits for what the others have decided meanwhile. */
    CATCHING_UP,
    /** Serves, and takes in more as the workers can. */
    RAMPING,
    /** Serves what was served before the fault. */
    FULL;

    /** As operators read it. */
    public String text() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }
}

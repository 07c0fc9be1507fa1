package postgrade.recovery;

/** How far a process has recovered after a start or a fault. */
public enum RecoveryPhase {
    /** Knows nothing but its settings. */
    EMPTY,
    /** Uses what it learnt earlier, as far as that may be trusted. */
    REMEMBERING,
    /** Has a list of workers and waits for what the quorum has decided meanwhile. */
    CATCHING_UP,
    /** Serves, and admits more as the workers can take it. */
    RAMPING,
    /** Serves as much as before the fault. */
    FULL;

    /** The form that operators read. */
    public String text() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }
}

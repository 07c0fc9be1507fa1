package postgrade.recovery;

/** A snapshot that must not be used, and the reason. */
public final class UnusableSnapshotException extends Exception {

    private static final long serialVersionUID = 1L;

    /** The reason; the log names each one separately. */
    public enum Fault {
        NOT_A_SNAPSHOT,
        TORN,
        FLIPPED,
        LATER_FORMAT,
        OTHER_DISPATCHER,
        FROM_THE_FUTURE,
        TOO_LARGE,
        MALFORMED
    }

    private final Fault fault;

    UnusableSnapshotException(Fault fault, String message) {
        super(message, null, false, false);
        this.fault = fault;
    }

    public Fault fault() {
        return fault;
    }
}

package postgrade.http;

/**
 * Thrown for a message that is malformed or exceeds a limit, with the status to answer a client
 * with.
 */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    public BadMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    public int status() {
        return status;
    }
}

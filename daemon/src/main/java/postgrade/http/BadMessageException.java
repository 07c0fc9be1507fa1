package postgrade.http;

/** A message that is not HTTP/1.1 as we take it, and the status that says so to a client. */
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

package postgrade.window;

/** Thrown when a calendar is rejected as a whole; states the fault and its location. */
public final class InvalidCalendarException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int line;
    private final String property;

    public InvalidCalendarException(int line, String property, String message) {
        super(message, null, false, false);
        this.line = line;
        this.property = property;
    }

    /** Counted from 1; a folded line counts as its first. */
    public int line() {
        return line;
    }

    public String property() {
        return property;
    }

    /** Returns one sentence, without the line number. */
    public String description() {
        return property + " " + getMessage();
    }
}

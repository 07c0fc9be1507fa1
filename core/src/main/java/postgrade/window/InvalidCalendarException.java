package postgrade.window;

/** A calendar is turned down, whole: what is wrong, and where. */
public final class InvalidCalendarException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int line;
    private final String property;

    public InvalidCalendarException(int line, String property, String what) {
        super(what, null, false, false);
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

    /** One sentence, without the line. */
    public String description() {
        return property + " " + getMessage();
    }
}

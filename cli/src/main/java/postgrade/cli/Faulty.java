package postgrade.cli;

/** The call or a setting is faulty: one line that names it, and exit code 2. */
public final class Faulty extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Faulty(String message) {
        super(message);
    }
}

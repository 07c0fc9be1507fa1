package postgrade.shared;

/**
 * The result of a command, decided by the log and therefore the same on every replica.
 *
 * @param text one sentence; unless the status is DONE it names the field at fault
 * @param fields the decided values, such as a fence
 */
public record Answer(Status status, String text, Row fields) {

    /**
     * Carried out; invalid; names something that does not exist; conflicts with the current state.
     */
    public enum Status {
        DONE,
        FAULTY,
        UNKNOWN,
        CONFLICT
    }

    public static Answer done(String text, Row fields) {
        return new Answer(Status.DONE, text, fields);
    }

    public static Answer faulty(String text) {
        return new Answer(Status.FAULTY, text, Row.EMPTY);
    }

    public static Answer unknown(String text) {
        return new Answer(Status.UNKNOWN, text, Row.EMPTY);
    }

    public static Answer conflict(String text) {
        return new Answer(Status.CONFLICT, text, Row.EMPTY);
    }
}

package postgrade.shared;

/**
 * What came of a command: decided by the log, the same on every replica.
 *
 * @param text one sentence; for anything but DONE it names the field at fault
 * @param fields what was decided, such as a fence
 */
public record Answer(Status status, String text, Row fields) {

    /** Carried out; faulty; names something that is not there; stands against what holds now. */
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

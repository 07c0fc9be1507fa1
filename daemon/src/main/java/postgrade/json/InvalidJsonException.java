package postgrade.json;

/** A text is not a JSON document. The message says what is wrong and where. */
public final class InvalidJsonException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    InvalidJsonException(String message) {
        super(message);
    }
}

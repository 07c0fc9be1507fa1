package postgrade.policy.api;

/** Checks of arguments. */
final class Requirements {

    private Requirements() {}

    /** Throws an {@link IllegalArgumentException} with this message unless the condition holds. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}

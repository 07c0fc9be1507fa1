package postgrade.policy.api;

/** Checks of arguments. */
final class Preconditions {

    private Preconditions() {}

    /** Throws an {@link IllegalArgumentException} with this message unless the condition holds. */
    static void checkArgument(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}

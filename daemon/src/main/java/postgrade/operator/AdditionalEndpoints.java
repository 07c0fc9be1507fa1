package postgrade.operator;

import java.util.Set;

/**
 * Operators' calls beyond {@link Operations}, by their paths. Who takes them knows nothing of how
 * they came.
 */
public interface AdditionalEndpoints {

    /** Exactly one answer is given to each call. */
    interface Reply {
        /**
         * @param retryAfterMicros when to come again, 0 where that does not help @param json one
         *     object
         */
        void answer(int status, long retryAfterMicros, String json);
    }

    /** None there. */
    AdditionalEndpoints NONE =
            new AdditionalEndpoints() {
                @Override
                public Set<String> allowedMethods(String path) {
                    return Set.of();
                }

                @Override
                public void handle(String method, String path, byte[] body, Reply reply) {
                    throw new IllegalStateException(path);
                }
            };

    /** How a path may be called; none for a path that is not known. */
    Set<String> allowedMethods(String path);

    /** The longest body that a call of this path may bring. */
    default int maxBodyBytes(String path) {
        return 64 << 10;
    }

    /** The longest body of any path. */
    default int maxBodyBytes() {
        return 64 << 10;
    }

    /** Answers within 2 s. */
    void handle(String method, String path, byte[] body, Reply reply);
}

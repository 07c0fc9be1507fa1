package postgrade.operator;

import java.util.Set;

/**
 * Operator endpoints beyond {@link Operations}, by path. Implementations do not depend on the
 * transport.
 */
public interface AdditionalEndpoints {

    /** Receives the answer to a call. Exactly one answer is given to each call. */
    interface Reply {
        /**
         * Sends the answer.
         *
         * @param retryAfterMicros when to retry, 0 if a retry does not help
         * @param json a JSON object
         */
        void answer(int status, long retryAfterMicros, String json);
    }

    /** No additional endpoints. */
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

    /** Returns the HTTP methods allowed for a path; empty for an unknown path. */
    Set<String> allowedMethods(String path);

    /** Returns the greatest body length, in bytes, of a call to this path. */
    default int maxBodyBytes(String path) {
        return 64 << 10;
    }

    /** Returns the greatest body length, in bytes, of any path. */
    default int maxBodyBytes() {
        return 64 << 10;
    }

    /** Handles a call and answers it within 2 s. */
    void handle(String method, String path, byte[] body, Reply reply);
}

package postgrade.gateway;

/**
 * What a consumer wants done, passed on to a provider unchanged.
 *
 * @param contentType null where there is none
 * @param idempotencyKey by which providers know a repeat, also one that the consumer makes
 *     elsewhere; null where there is none
 */
public record Payload(
        String method, String target, String contentType, String idempotencyKey, byte[] body) {}

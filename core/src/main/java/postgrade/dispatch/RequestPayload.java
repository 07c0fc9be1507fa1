package postgrade.dispatch;

/**
 * The part of a client's request that is forwarded to a worker unchanged.
 *
 * @param method of the request line
 * @param target of the request line
 * @param contentType null where there is none
 * @param idempotencyKey by which workers recognise a repeat, also one that the client makes
 *     elsewhere; null where there is none
 * @param body not copied, and not to be changed
 */
public record RequestPayload(
        String method, String target, String contentType, String idempotencyKey, byte[] body) {}

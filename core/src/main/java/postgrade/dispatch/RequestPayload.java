package postgrade.dispatch;

/** The part of a client's request that is forwarded to a worker unchanged. */
public final class RequestPayload {

    private final String method;
    private final String target;
    private final String contentType;
    private final String idempotencyKey;
    private final byte[] body;

    /**
     * A payload that shares the body with its caller, who may not change it any more.
     *
     * @param method of the request line
     * @param target of the request line
     * @param contentType null where there is none
     * @param idempotencyKey by which workers recognise a repeat, also one that the client makes
     *     elsewhere; null where there is none
     */
    public RequestPayload(
            String method, String target, String contentType, String idempotencyKey, byte[] body) {
        this.method = method;
        this.target = target;
        this.contentType = contentType;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
    }

    /** The method of the request line. */
    public String method() {
        return method;
    }

    /** The target of the request line. */
    public String target() {
        return target;
    }

    /** Null where there is none. */
    public String contentType() {
        return contentType;
    }

    /** Null where there is none. */
    public String idempotencyKey() {
        return idempotencyKey;
    }

    /**
     * The body itself, not to be changed: a copy for each attempt would cost as much as the
     * request.
     */
    public byte[] body() {
        return body;
    }
}

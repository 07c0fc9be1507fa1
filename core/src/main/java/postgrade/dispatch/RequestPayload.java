package postgrade.dispatch;

/** The part of a client's request that is forwarded to a worker unchanged. */
public final class RequestPayload {

    private final String method;
    private final String target;
    private final String contentType;
    private final String idempotencyKey;
    private final byte[] body;

    /**
     * Creates a payload that shares the body with its caller, who must not modify it afterwards.
     *
     * @param method the method of the request line
     * @param target the target of the request line
     * @param contentType the content type, or null if there is none
     * @param idempotencyKey the key by which workers recognise a repeated request, including one
     *     that the client sends through another dispatcher; null if there is none
     */
    public RequestPayload(
            String method, String target, String contentType, String idempotencyKey, byte[] body) {
        this.method = method;
        this.target = target;
        this.contentType = contentType;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
    }

    /** Returns the method of the request line. */
    public String method() {
        return method;
    }

    /** Returns the target of the request line. */
    public String target() {
        return target;
    }

    /** Returns the content type, or null if there is none. */
    public String contentType() {
        return contentType;
    }

    /** Returns the idempotency key, or null if there is none. */
    public String idempotencyKey() {
        return idempotencyKey;
    }

    /**
     * Returns the body itself, which must not be modified. A copy for each attempt would cost as
     * much as the request.
     */
    public byte[] body() {
        return body;
    }
}

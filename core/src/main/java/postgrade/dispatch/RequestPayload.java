package postgrade.dispatch;

/** The part of a client's request that is forwarded to a worker unchanged. */
public final class RequestPayload {

    private static final byte[] NO_BODY = {};

    /** Heads up to this length count as part of the request's own objects. */
    private static final int SMALL_HEAD_CHARS = 4 << 10;

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

    /** Returns the memory that the body takes, and the head if that is long, in bytes. */
    public long heldBytes() {
        int headChars = target.length() + (idempotencyKey == null ? 0 : idempotencyKey.length());
        return (long) body.length + (headChars > SMALL_HEAD_CHARS ? headChars : 0);
    }

    /** Returns the payload without its body. */
    RequestPayload withoutBody() {
        return new RequestPayload(method, target, contentType, idempotencyKey, NO_BODY);
    }
}

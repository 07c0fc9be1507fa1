package postgrade.client;

import postgrade.dispatch.PendingRequest;
import postgrade.dispatch.ResponseHandler;

/**
 * A request that awaits its answer. The answer goes to its connection unless the peer has
 * disconnected.
 */
final class Exchange implements ResponseHandler {

    private static final byte[] EMPTY_BODY = {};

    private final ClientConnection connection;
    final boolean keepsAlive;

    /** Null for a call-back. */
    PendingRequest request;

    /** The memory reserved for the request until it is answered or its client has disconnected. */
    long reservedBytes;

    Exchange(ClientConnection connection, boolean keepsAlive) {
        this.connection = connection;
        this.keepsAlive = keepsAlive;
    }

    /**
     * Reserves memory for the request, which the connection returns with the end of the exchange.
     */
    void reserve(long bytes) {
        reservedBytes = bytes;
        connection.listener.requestMemory.grow(bytes);
    }

    @Override
    public void complete(byte[] result) {
        connection.answer(this, 200, result, 0);
    }

    @Override
    public void reject(long retryAfterMicros) {
        connection.answer(this, 429, EMPTY_BODY, retryAfterMicros);
    }

    @Override
    public void fail(boolean timedOut) {
        connection.answer(this, timedOut ? 504 : 502, EMPTY_BODY, 0);
    }

    @Override
    public boolean hasDisconnected() {
        if (connection.isAwaiting(this)) {
            // The end of stream may lie in the socket behind other bytes, or while reading is
            // paused.
            connection.readPending();
        }
        return !connection.isAwaiting(this);
    }

    /**
     * Answers a relayed call-back. If no process has confirmed it, the connection is closed
     * unanswered: the worker then repeats the call-back and reaches the process that holds the job.
     */
    void callBackRelayed(boolean confirmed) {
        if (confirmed) {
            connection.answer(this, 204, EMPTY_BODY, 0);
        } else if (connection.isAwaiting(this)) {
            connection.closeNow();
        }
    }
}

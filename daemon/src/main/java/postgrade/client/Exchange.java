package postgrade.client;

import postgrade.dispatch.PendingRequest;
import postgrade.dispatch.ResponseHandler;

/** One request that waits for its answer, which goes to its connection unless the peer has left. */
final class Exchange implements ResponseHandler {

    private static final byte[] EMPTY_BODY = {};

    private final ClientConnection connection;
    final boolean keepsAlive;

    /** Null for a call-back. */
    PendingRequest request;

    int bodyBytes;

    Exchange(ClientConnection connection, boolean keepsAlive) {
        this.connection = connection;
        this.keepsAlive = keepsAlive;
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
            connection
                    .readPending(); // The end may lie in the socket, behind other bytes or while
                                    // nothing
            // is read from it.
        }
        return !connection.isAwaiting(this);
    }

    /** Unanswered the provider repeats it, and finds the process that has the job. */
    void callBackRelayed(boolean confirmed) {
        if (confirmed) {
            connection.answer(this, 204, EMPTY_BODY, 0);
        } else if (connection.isAwaiting(this)) {
            connection.closeNow();
        }
    }
}

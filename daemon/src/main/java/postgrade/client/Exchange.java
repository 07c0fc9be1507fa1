package postgrade.client;

import postgrade.dispatch.PendingRequest;
import postgrade.dispatch.ResponseHandler;

/** One request that waits for its answer, which goes to its connection unless the peer has left. */
final class Exchange implements ResponseHandler {

    private static final byte[] NONE = {};

    private final ConsumerConnection connection;
    final boolean keepsAlive;

    /** Null for a call-back. */
    PendingRequest invocation;

    int size;

    Exchange(ConsumerConnection connection, boolean keepsAlive) {
        this.connection = connection;
        this.keepsAlive = keepsAlive;
    }

    @Override
    public void complete(byte[] result) {
        connection.answer(this, 200, result, 0);
    }

    @Override
    public void reject(long retryAfterMicros) {
        connection.answer(this, 429, NONE, retryAfterMicros);
    }

    @Override
    public void fail(boolean timedOut) {
        connection.answer(this, timedOut ? 504 : 502, NONE, 0);
    }

    @Override
    public boolean hasDisconnected() {
        if (connection.awaits(this)) {
            connection.look(); // The end may lie in the socket, behind other bytes or while nothing
            // is read from it.
        }
        return !connection.awaits(this);
    }

    /** Unanswered the provider repeats it, and finds the process that has the job. */
    void relayed(boolean heard) {
        if (heard) {
            connection.answer(this, 204, NONE, 0);
        } else if (connection.awaits(this)) {
            connection.drop();
        }
    }
}

package postgrade.client;

import java.nio.ByteBuffer;
import postgrade.http.BadMessageException;
import postgrade.http.MessageParser;

/**
 * The input of a connection that has been received and cannot be handled yet: it came behind a
 * request that awaits its answer, or is left for the next turn of the event loop.
 */
final class PipelinedInput {

    /** The most bytes kept of one connection. */
    private static final int MAX_BYTES = MessageParser.MAX_BODY_BYTES * 2;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private ByteBuffer kept = EMPTY;

    boolean isEmpty() {
        return !kept.hasRemaining();
    }

    /** Returns the memory that it takes, in bytes. */
    int heldBytes() {
        return kept.capacity();
    }

    /** Returns what is kept; what the caller consumes of it is gone after {@link #keep}. */
    ByteBuffer bytes() {
        return kept;
    }

    /**
     * Returns what is kept followed by the bytes that have just been received.
     *
     * @throws BadMessageException if that is more than may be kept. Rejected with an answer:
     *     closing a socket that holds unread bytes would reset the connection, and the client would
     *     not receive its answer.
     */
    ByteBuffer append(ByteBuffer received) throws BadMessageException {
        if (isEmpty()) {
            return received;
        }
        int length = kept.remaining() + received.remaining();
        if (length > MAX_BYTES) {
            throw new BadMessageException(400, "more sent ahead of its answer than is kept");
        }
        kept = ByteBuffer.allocate(length).put(kept).put(received).flip();
        return kept;
    }

    /** Keeps the rest of these bytes, which are copied unless they are its own. */
    void keep(ByteBuffer rest) {
        if (!rest.hasRemaining()) {
            clear();
        } else if (rest != kept) {
            kept = ByteBuffer.allocate(rest.remaining()).put(rest).flip();
        }
    }

    void clear() {
        kept = EMPTY;
    }
}

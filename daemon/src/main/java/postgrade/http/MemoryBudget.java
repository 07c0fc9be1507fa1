package postgrade.http;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * A shared limit on the memory held for all peers: input that is not a complete request yet,
 * requests under way, and output that a peer has not read. Each part has limits of its own; this
 * one bounds their sum, however many peers there are.
 *
 * <p>There are two kinds of memory. What a connection buffers can be released: if the sum exceeds
 * the limit, the connection that holds the most has to release it first, so that peers that hold
 * little are not affected. What is reserved by a {@link Reservation} is not released on demand; its
 * owner asks before it reserves more, and rejects what does not fit. Reservations have a smaller
 * limit, so that some memory is always left for buffers. Must be used on the event loop thread
 * only.
 */
public final class MemoryBudget {

    /** Well below the heap of 96 MB that the run line gives. */
    private static final long MAX_HELD_BYTES = 32 << 20;

    private static final long MAX_RESERVED_BYTES = 24 << 20;

    /** A connection that holds no more, such as one that sends a call-back, never loses it. */
    private static final long SMALL_HOLDER_BYTES = 4 << 10;

    /** A holder of memory that can be released. */
    interface Holder {
        /**
         * Releases the memory. The peer is answered if possible; a holder that cannot release it
         * otherwise closes its connection.
         */
        void releaseMemory();
    }

    private final Map<Holder, Long> heldBytes = new HashMap<>();
    private long heldSum;
    private long reservedSum;

    /** Records how much a holder buffers now; 0 once it is closed. */
    void update(Holder holder, long bytes) {
        Long previous = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
        heldSum += bytes - (previous == null ? 0 : previous);
    }

    /** Returns a new reservation, of nothing. */
    public Reservation reservation() {
        return new Reservation();
    }

    /** Returns the sum of all that is held and reserved, in bytes. */
    public long usedBytes() {
        return heldSum + reservedSum;
    }

    /**
     * Has the holders of the most memory release it until the sum is within the limit. Called
     * between the event loop's handlers, so that no holder is in the middle of its own work.
     *
     * @return how many holders had to release memory
     */
    public int enforce() {
        int released = 0;
        while (usedBytes() > MAX_HELD_BYTES && !heldBytes.isEmpty()) {
            Holder largest = largestHolder();
            long before = heldBytes.get(largest);
            if (before <= SMALL_HOLDER_BYTES) {
                return released;
            }
            largest.releaseMemory();
            if (heldBytes.getOrDefault(largest, 0L) >= before) {
                throw new IllegalStateException(largest + " has not released its memory");
            }
            released++;
        }
        return released;
    }

    private Holder largestHolder() {
        return Collections.max(heldBytes.entrySet(), Map.Entry.comparingByValue()).getKey();
    }

    /** Memory that is held until its owner lets go of it. */
    public final class Reservation {
        private long bytes;

        /** Returns whether this many more bytes fit into what may be reserved. */
        public boolean canGrow(long additionalBytes) {
            return reservedSum + additionalBytes <= MAX_RESERVED_BYTES;
        }

        /** Changes the size of the reservation, also beyond the limit. */
        public void grow(long additionalBytes) {
            bytes += additionalBytes;
            reservedSum += additionalBytes;
        }

        /** Sets the size of the reservation, also beyond the limit. */
        public void resize(long newBytes) {
            grow(newBytes - bytes);
        }
    }
}

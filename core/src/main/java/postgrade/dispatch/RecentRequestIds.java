package postgrade.dispatch;

import java.util.stream.LongStream;

/**
 * A bounded set of the request ids that were added last. It keeps a fingerprint of 64 bits for each
 * id, so that its memory does not depend on their lengths, and two generations of them: when the
 * newer one is full, it replaces the older one.
 */
final class RecentRequestIds {

    /** At least as many ids are kept; at most twice as many. */
    static final int IDS_PER_GENERATION = 1 << 14;

    /** Twice the ids, so that probing stays short. */
    private static final int SLOTS = 2 * IDS_PER_GENERATION;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** A factor of the finalizer of MurmurHash3. */
    private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;

    /** Marks a free slot. */
    private static final long FREE = 0;

    private long[] newer = new long[SLOTS];
    private long[] older = new long[SLOTS];
    private int newerCount;

    /**
     * Returns the fingerprint of an id, the same in every process: its FNV-1a hash, mixed so that
     * its low bits depend on all of it.
     */
    static long fingerprint(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * MIX_FACTOR;
        hash ^= hash >>> 33;
        return hash == FREE ? 1 : hash;
    }

    /** Returns whether an id with this fingerprint was added not long ago. */
    boolean contains(long fingerprint) {
        return newer[slot(newer, fingerprint)] != FREE || older[slot(older, fingerprint)] != FREE;
    }

    /** Adds an id by its fingerprint. Returns false if it is in the newer generation already. */
    boolean add(long fingerprint) {
        int slot = slot(newer, fingerprint);
        if (fingerprint == FREE || newer[slot] != FREE) {
            return false;
        }
        if (newerCount == IDS_PER_GENERATION) {
            older = newer;
            newer = new long[SLOTS];
            newerCount = 0;
            slot = slot(newer, fingerprint);
        }
        newer[slot] = fingerprint;
        newerCount++;
        return true;
    }

    /** Returns the fingerprints, the older ones first. */
    long[] fingerprints() {
        return LongStream.concat(LongStream.of(older), LongStream.of(newer))
                .filter(fingerprint -> fingerprint != FREE)
                .toArray();
    }

    /** Returns the slot of the fingerprint, or the free slot where it belongs. */
    private static int slot(long[] table, long fingerprint) {
        int slot = (int) (fingerprint & (SLOTS - 1));
        while (table[slot] != FREE && table[slot] != fingerprint) {
            slot = (slot + 1) & (SLOTS - 1);
        }
        return slot;
    }
}

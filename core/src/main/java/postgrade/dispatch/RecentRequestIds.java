package postgrade.dispatch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * A bounded set of the request ids that were added last. It keeps a fingerprint of 64 bits for each
 * id, so that its memory does not depend on their lengths, and two generations of them: when the
 * newer one is full, it replaces the older one.
 */
public final class RecentRequestIds {

    /** At least as many ids are kept; at most twice as many. */
    static final int IDS_PER_GENERATION = 1 << 14;

    /** Twice the ids, so that probing stays short. */
    private static final int SLOTS = 2 * IDS_PER_GENERATION;

    /** Marks a free slot. */
    private static final long FREE = 0;

    private long[] newer = new long[SLOTS];
    private long[] older = new long[SLOTS];
    private int newerCount;

    /** Returns the fingerprint of an id, the same in every process. */
    public static long fingerprint(String id) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(id.getBytes(StandardCharsets.UTF_8));
            long fingerprint = 0;
            for (int i = 0; i < Long.BYTES; i++) {
                fingerprint = (fingerprint << Byte.SIZE) | (hash[i] & 0xff);
            }
            return fingerprint == FREE ? 1 : fingerprint;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns whether an id with this fingerprint was added not long ago. */
    boolean contains(long fingerprint) {
        return newer[slot(newer, fingerprint)] != FREE || older[slot(older, fingerprint)] != FREE;
    }

    /** Adds an id by its fingerprint. */
    void add(long fingerprint) {
        int slot = slot(newer, fingerprint);
        if (fingerprint == FREE || newer[slot] != FREE) {
            return;
        }
        if (newerCount == IDS_PER_GENERATION) {
            older = newer;
            newer = new long[SLOTS];
            newerCount = 0;
            slot = slot(newer, fingerprint);
        }
        newer[slot] = fingerprint;
        newerCount++;
    }

    /** Returns the fingerprints, the older ones first. */
    long[] fingerprints() {
        long[] all = Arrays.copyOf(older, 2 * SLOTS);
        System.arraycopy(newer, 0, all, SLOTS, SLOTS);
        return Arrays.stream(all).filter(fingerprint -> fingerprint != FREE).toArray();
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

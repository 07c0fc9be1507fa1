package postgrade.policy;

/** Hash functions. */
final class Hashing {

    private Hashing() {}

    /** Spreads the bits of a value evenly (the finalizer of SplitMix64). */
    static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}

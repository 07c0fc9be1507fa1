package postgrade.rig.soak;

/**
 * Tolerances for times. Logical rules are checked in the same way under all limits; on a shared
 * machine the simulated workers may observe late what was done in time.
 *
 * @param slackMicros extension of each limit of a rule
 * @param lateMicros how long after its deadline a client may see its answer
 * @param killMicros how long after a kill clients may see their connections broken
 */
record SoakLimits(long slackMicros, long lateMicros, long killMicros) {

    /** For a machine without other load. */
    static final SoakLimits EXACT = new SoakLimits(100_000, 500_000, 1_000_000);

    /** For a shared machine. */
    static final SoakLimits LENIENT = new SoakLimits(2_500_000, 60_000_000, 10_000_000);
}

package postgrade.rig.soak;

/**
 * How exactly times are judged. Logic is judged alike under all limits; on a machine that others
 * use, stand-ins see late what was done in time.
 *
 * @param slackMicros by which each limit of a rule is extended
 * @param lateMicros how long after its deadline a client may see its answer
 * @param killMicros how long after a kill its clients see their connections broken
 */
record SoakLimits(long slackMicros, long lateMicros, long killMicros) {

    /** For a machine that nothing else uses. */
    static final SoakLimits EXACT = new SoakLimits(100_000, 500_000, 1_000_000);

    /** For a machine that others use. */
    static final SoakLimits LENIENT = new SoakLimits(2_500_000, 60_000_000, 10_000_000);
}

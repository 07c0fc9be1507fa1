package postgrade.discovery;

/**
 * How long the watch waits for a whole line, or a whole list, before it takes the connection for
 * dead.
 *
 * @param firstMicros from the opening of a connection, or from a question on it, to the first one:
 *     the agent has it at hand and answers at once
 * @param silentMicros from one to the next
 * @param startMicros a new process takes no consumers for so long at most, until it has the first
 */
public record Patience(long firstMicros, long silentMicros, long startMicros) {

    /**
     * An empty line is due every 2 s. Guards the drain rule: what a watch misses counts as told 6 s
     * after its last line, and four openings fit before that, of which three may be silent too. A
     * new process is bound by what the agent has from its first moment, with 500 ms of grace: a
     * silent first opening must be found out within them.
     */
    public static final Patience USUAL = new Patience(400_000, 2_300_000, 200_000);
}

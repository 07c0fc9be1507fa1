package postgrade.discovery;

/**
 * How long the watch waits for a whole frame before it takes its connection for dead. A frame is an
 * object, an empty line or a whole list.
 *
 * @param firstFrameMicros from the opening of a connection, or from a question on it, to the first
 *     frame: discovery has it at hand
 * @param betweenFramesMicros from one frame to the next
 * @param startupMicros a new process takes no clients for so long at most, until it has the first
 *     frame
 */
public record WatchTimeouts(long firstFrameMicros, long betweenFramesMicros, long startupMicros) {

    /**
     * A heartbeat is due every 2 s. What a watch misses counts as told 6 s after its last frame,
     * and four openings fit before that, of which three may be silent too. A new process is bound
     * by what discovery's agent has from its first moment, with 0.5 s of grace: a silent first
     * opening has to be found out within them.
     */
    public static final WatchTimeouts DEFAULT = new WatchTimeouts(400_000, 2_300_000, 200_000);
}

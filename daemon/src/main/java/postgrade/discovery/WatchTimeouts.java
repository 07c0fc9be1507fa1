package postgrade.discovery;

/**
 * How long the watch waits for a complete frame before it considers its connection dead. A frame is
 * an object, an empty line or a complete list.
 *
 * @param firstFrameMicros from opening a connection, or from a request on it, to the first frame,
 *     which discovery sends at once
 * @param betweenFramesMicros from one frame to the next
 * @param startupMicros the longest time for which a new process admits no clients while it waits
 *     for the first frame
 */
public record WatchTimeouts(long firstFrameMicros, long betweenFramesMicros, long startupMicros) {

    /**
     * A heartbeat is sent every 2 s. A change that a watch misses counts as known to the dispatcher
     * 6 s after the last frame. Four connections fit before that, of which three may be silent too.
     * A new process must follow what discovery's agent knows from the start, with a grace of 0.5 s,
     * so a silent first connection has to be detected within that grace.
     */
    public static final WatchTimeouts DEFAULT = new WatchTimeouts(400_000, 2_300_000, 200_000);
}

package postgrade.discovery;

/** Takes the frames of a watch, as {@link WatchFrameDecoder} finds them. */
interface FrameHandler {

    /** An object has come whole. */
    void object(String json);

    /** An empty line has come: nothing has changed. */
    void heartbeat();
}

package postgrade.discovery;

/** Receives the frames of a watch from {@link WatchFrameDecoder}. */
interface FrameHandler {

    /** A complete object has been received. */
    void object(String json);

    /** An empty line has been received: nothing has changed. */
    void heartbeat();
}

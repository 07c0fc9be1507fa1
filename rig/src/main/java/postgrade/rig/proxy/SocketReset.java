package postgrade.rig.proxy;

import java.io.IOException;
import java.net.Socket;

/** Resets TCP connections. */
public final class SocketReset {

    private SocketReset() {}

    /** Closes a socket with a reset instead of an orderly end of stream. */
    public static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // Already closed; closing it again is harmless.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }
}

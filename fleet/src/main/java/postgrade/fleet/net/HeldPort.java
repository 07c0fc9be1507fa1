package postgrade.fleet.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A port that stays ours while the process that listens on it dies and starts again: a socket that
 * is bound to it and never listens. The system gives it to nobody else, and lets the process listen
 * beside it, as both allow the address to be used again.
 */
public final class HeldPort implements Closeable {

    private final Socket holder = new Socket();

    public HeldPort() throws IOException {
        this(0);
    }

    /**
     * @param port 0, or one to be had only where nobody else has it
     */
    public HeldPort(int port) throws IOException {
        try {
            // Bound before it allows the address to be used again: else a port that another one
            // holds would be had too.
            holder.setReuseAddress(false);
            holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            holder.setReuseAddress(true);
        } catch (IOException e) {
            holder.close();
            throw e;
        }
    }

    public int port() {
        return holder.getLocalPort();
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port());
    }

    @Override
    public void close() throws IOException {
        holder.close();
    }
}

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Loopback addresses and free ports. */
final class Net {
    static final InetAddress LOOPBACK = loopback();

    private Net() {}

    private static InetAddress loopback() {
        try {
            return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns an address that nobody listens at now. */
    static String free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    static Socket connect(String address) throws IOException {
        String[] parts = address.split(":");
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 5000);
        return socket;
    }
}

package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in that listens on a free loopback port and serves each connection on a thread. */
abstract class Peer {

    private final ServerSocket server;

    Peer() {
        try {
            server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Starts to accept connections. */
    final void open() {
        thread("accept", this::accept);
    }

    final String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                thread(
                        "serve",
                        () -> {
                            try (socket) {
                                serve(socket);
                            } catch (IOException e) {
                                // The other side has ended the connection.
                            }
                        });
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Serves one connection; it is closed at the return. */
    abstract void serve(Socket socket) throws IOException;

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}

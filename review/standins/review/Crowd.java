package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Connections that send nothing, and connections whose request never comes whole. */
final class Crowd {

    /** Bounds the descriptors of this script; the connection idle longest is closed first. */
    private static final int MOST_IDLE = 600;

    private final InetSocketAddress dispatcher;
    private final AtomicInteger idle = new AtomicInteger();
    private final AtomicInteger halfWritten = new AtomicInteger();
    private volatile boolean ended;

    Crowd(InetSocketAddress dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Opens so many connections a second that send nothing. */
    void sendNothing(int perSecond) {
        Peer.thread(
                "idle",
                () -> {
                    ArrayDeque<SocketChannel> open = new ArrayDeque<>();
                    while (!ended) {
                        SocketChannel channel = connect();
                        if (channel != null) {
                            idle.incrementAndGet();
                            open.add(channel);
                        }
                        if (open.size() > MOST_IDLE) {
                            close(open.poll());
                        }
                        Peer.sleep(1000 / perSecond);
                    }
                    open.forEach(Crowd::close);
                });
    }

    /**
     * Keeps so many connections open that send the head of a job in two pieces and then a byte of its body now
     * and then; one that the dispatcher ends is opened again.
     */
    void sendHalf(int connections, int pauseMillis) {
        Peer.thread(
                "half",
                () -> {
                    List<SocketChannel> open = new ArrayList<>();
                    while (!ended) {
                        open.removeIf(channel -> !sendByte(channel));
                        while (open.size() < connections) {
                            SocketChannel channel = connect();
                            if (channel == null || !sendHead(channel)) {
                                break;
                            }
                            open.add(channel);
                        }
                        Peer.sleep(pauseMillis);
                    }
                    open.forEach(Crowd::close);
                });
    }

    private SocketChannel connect() {
        try {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(dispatcher);
            for (int i = 0; i < 20 && !channel.finishConnect(); i++) {
                Peer.sleep(10);
            }
            if (channel.isConnected()) {
                return channel;
            }
            close(channel);
        } catch (IOException e) {
            // The backlog is full.
        }
        return null;
    }

    private boolean sendHead(SocketChannel channel) {
        String head =
                "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 7a%08x\r\n"
                        + "X-Class: basket-price\r\nX-Tenant: kvart-market\r\nX-Deadline: 5000m\r\n"
                        + "Content-Length: 212\r\n\r\n";
        String whole = String.format(head, halfWritten.incrementAndGet());
        if (!send(channel, whole.substring(0, whole.length() / 2))) {
            return false;
        }
        Peer.sleep(1);
        return send(channel, whole.substring(whole.length() / 2));
    }

    /** Sends one more byte. Returns false if the dispatcher has answered or ended the connection. */
    private static boolean sendByte(SocketChannel channel) {
        try {
            if (channel.read(ByteBuffer.allocate(500)) != 0) {
                close(channel);
                return false;
            }
        } catch (IOException e) {
            close(channel);
            return false;
        }
        return send(channel, "x");
    }

    private static boolean send(SocketChannel channel, String text) {
        try {
            channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            return true;
        } catch (IOException e) {
            close(channel);
            return false;
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // It is over either way.
        }
    }

    void end() {
        ended = true;
    }

    String counts() {
        return idle + " idle and " + halfWritten + " half-written connections came";
    }
}

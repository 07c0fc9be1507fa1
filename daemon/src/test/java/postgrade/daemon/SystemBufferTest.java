package postgrade.daemon;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.Test;
import postgrade.http.SystemCalls;

/**
 * What the system buffers for a connection counts as the process's memory. Guards against buffers
 * that grow for a peer that sends fast or reads nothing, times the number of peers.
 */
public class SystemBufferTest extends DaemonTestBase {

    /** The system takes twice what is asked for. */
    private static final int MAX_BUFFER_BYTES = 2 * (32 << 10);

    private final BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();

    private final SystemCalls recordingCalls =
            new SystemCalls() {
                @Override
                public SocketChannel accept(ServerSocketChannel server) throws IOException {
                    SocketChannel channel = SystemCalls.super.accept(server);
                    if (channel != null) {
                        accepted.add(channel);
                    }
                    return channel;
                }
            };

    private static void assertLimited(SocketChannel channel, SocketOption<Integer> option)
            throws IOException {
        int bytes = channel.getOption(option);
        assertTrue(option + " is " + bytes, bytes <= MAX_BUFFER_BYTES);
    }

    @Test
    public void buffersOfAcceptedConnectionsAreLimited() throws Exception {
        try (LoopHarness harness =
                new LoopHarness(Config.read(configuration()), 1024, recordingCalls)) {
            Socket client = harness.connect();
            for (int i = 0; i < 100; i++) {
                ScriptedPeer.write(client, "GET /-/ready HTTP/1.1\r\n\r\n");
                ScriptedPeer.read(client);
            }
            SocketChannel channel = accepted.take();
            assertLimited(channel, StandardSocketOptions.SO_SNDBUF);
            assertLimited(channel, StandardSocketOptions.SO_RCVBUF);
        }
    }
}

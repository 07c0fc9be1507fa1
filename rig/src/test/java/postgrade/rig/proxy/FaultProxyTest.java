package postgrade.rig.proxy;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import postgrade.fleet.net.HeldPort;

/** Each fault of the proxy, observed from both ends of a connection. */
public class FaultProxyTest {

    /**
     * Bounds a test that hangs. It is far above the time needed, so slow machines do not fail it.
     */
    private static final int TIMEOUT_MILLIS = 60_000;

    private ServerSocket server;
    private FaultProxy proxy;

    @Before
    public void open() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MILLIS);
        proxy = new FaultProxy("p");
        proxy.setTarget(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
    }

    @After
    public void close() throws IOException {
        proxy.close();
        server.close();
    }

    private Socket client() throws IOException {
        Socket serverSide = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        serverSide.setSoTimeout(TIMEOUT_MILLIS);
        return serverSide;
    }

    private Socket accepted() throws IOException {
        Socket serverSide = server.accept();
        serverSide.setSoTimeout(TIMEOUT_MILLIS);
        return serverSide;
    }

    private static void assertNoData(Socket serverSide) throws IOException {
        serverSide.setSoTimeout(150);
        assertThrows(SocketTimeoutException.class, () -> serverSide.getInputStream().read());
        serverSide.setSoTimeout(TIMEOUT_MILLIS);
    }

    private static void assertReset(Socket serverSide) {
        assertThrows(
                SocketException.class,
                () -> {
                    InputStream in = serverSide.getInputStream();
                    assertEquals("end of stream instead of a reset", Integer.MIN_VALUE, in.read());
                });
    }

    @Test
    public void bytesOfACutDirectionArriveAfterHealingAndTheOtherDirectionStaysOpen()
            throws IOException {
        try (Socket clientSide = client();
                Socket serverSide = accepted()) {
            proxy.cut(Direction.OUT);
            clientSide.getOutputStream().write(new byte[] {1, 2, 3});
            serverSide.getOutputStream().write(9);
            assertEquals(9, clientSide.getInputStream().read());
            assertNoData(serverSide);
            proxy.heal();
            assertArrayEquals(new byte[] {1, 2, 3}, serverSide.getInputStream().readNBytes(3));
            assertEquals(new FaultProxy.Counts(1, 3, 1), proxy.counts());
        }
    }

    @Test
    public void resetBehindACutIsForwardedOnlyAfterHealing() throws IOException {
        try (Socket clientSide = client();
                Socket serverSide = accepted()) {
            proxy.cut();
            serverSide.setSoLinger(true, 0);
            serverSide.close();
            assertNoData(clientSide);
            proxy.heal();
            assertReset(clientSide);
        }
    }

    @Test
    public void resetReachesBothSides() throws IOException {
        try (Socket clientSide = client();
                Socket serverSide = accepted()) {
            clientSide.getOutputStream().write(1);
            assertEquals(1, serverSide.getInputStream().read());
            proxy.reset();
            assertReset(clientSide);
            assertReset(serverSide);
        }
    }

    @Test
    public void stalledConnectionsForwardNothingWhileNewOnesWork() throws IOException {
        try (Socket clientSide = client();
                Socket serverSide = accepted()) {
            clientSide.getOutputStream().write(1);
            assertEquals(1, serverSide.getInputStream().read());
            proxy.stall();
            clientSide.getOutputStream().write(2);
            assertNoData(serverSide);
            try (Socket otherClientSide = client();
                    Socket otherServerSide = accepted()) {
                otherClientSide.getOutputStream().write(3);
                assertEquals(3, otherServerSide.getInputStream().read());
            }
            proxy.heal();
            assertNoData(serverSide);
        }
    }

    @Test
    public void closesAfterTheGivenNumberOfBytes() throws IOException {
        proxy.closeAfter(Direction.OUT, 4);
        try (Socket clientSide = client();
                Socket serverSide = accepted()) {
            clientSide.getOutputStream().write(new byte[] {1, 2, 3, 4, 5, 6});
            assertArrayEquals(new byte[] {1, 2, 3, 4}, serverSide.getInputStream().readAllBytes());
        }
    }

    @Test
    public void delayedBytesArriveNoEarlierThanTheDelay() throws IOException {
        try (Socket clientSide = client();
                Socket serverSide = accepted()) {
            proxy.delay(Direction.OUT, 120);
            long startNanos = System.nanoTime();
            clientSide.getOutputStream().write(1);
            assertEquals(1, serverSide.getInputStream().read());
            assertEquals(true, System.nanoTime() - startNanos >= 120_000_000);
        }
    }

    @Test
    public void portStaysTheSameWhenTheTargetChanges() throws IOException {
        int port = proxy.port();
        server.close();
        // A target at which nothing listens and that no other process can bind. The port released
        // above may have been taken by another process.
        try (HeldPort unusedPort = new HeldPort()) {
            proxy.setTarget(unusedPort.address());
            try (Socket clientSide = client()) {
                assertReset(clientSide);
            }
        }
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MILLIS);
        proxy.setTarget(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        try (Socket clientSide = client();
                Socket serverSide = accepted()) {
            clientSide.getOutputStream().write(7);
            assertEquals(7, serverSide.getInputStream().read());
        }
        assertEquals(port, proxy.port());
        proxy.setRefusing(true);
        try (Socket clientSide = client()) {
            assertReset(clientSide);
        }
    }
}

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

/** Each switch, seen from both ends. */
public class FaultProxyTest {

    /** Far above what is needed: it bounds what hangs, and judges nobody's pace. */
    private static final int MOST_MILLIS = 60_000;

    private ServerSocket server;
    private FaultProxy proxy;

    @Before
    public void open() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(MOST_MILLIS);
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
        Socket s = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        s.setSoTimeout(MOST_MILLIS);
        return s;
    }

    private Socket accepted() throws IOException {
        Socket s = server.accept();
        s.setSoTimeout(MOST_MILLIS);
        return s;
    }

    private static void silent(Socket s) throws IOException {
        s.setSoTimeout(150);
        assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
        s.setSoTimeout(MOST_MILLIS);
    }

    private static void ended(Socket s) {
        assertThrows(
                SocketException.class,
                () -> {
                    InputStream in = s.getInputStream();
                    assertEquals(
                            "an ordinary end instead of a reset", Integer.MIN_VALUE, in.read());
                });
    }

    @Test
    public void whatIsCutOneWayComesWhenHealedAndTheOtherWayIsOpen() throws IOException {
        try (Socket c = client();
                Socket s = accepted()) {
            proxy.cut(Direction.OUT);
            c.getOutputStream().write(new byte[] {1, 2, 3});
            s.getOutputStream().write(9);
            assertEquals(9, c.getInputStream().read());
            silent(s);
            proxy.heal();
            assertArrayEquals(new byte[] {1, 2, 3}, s.getInputStream().readNBytes(3));
            assertEquals(new FaultProxy.Counts(1, 3, 1), proxy.counts());
        }
    }

    @Test
    public void anEndBehindACutIsNotHeardOf() throws IOException {
        try (Socket c = client();
                Socket s = accepted()) {
            proxy.cut();
            s.setSoLinger(true, 0);
            s.close();
            silent(c);
            proxy.heal();
            ended(c);
        }
    }

    @Test
    public void aResetReachesBothSides() throws IOException {
        try (Socket c = client();
                Socket s = accepted()) {
            c.getOutputStream().write(1);
            assertEquals(1, s.getInputStream().read());
            proxy.reset();
            ended(c);
            ended(s);
        }
    }

    @Test
    public void stalledConnectionsStaySilentWhileNewOnesAreWell() throws IOException {
        try (Socket c = client();
                Socket s = accepted()) {
            c.getOutputStream().write(1);
            assertEquals(1, s.getInputStream().read());
            proxy.stall();
            c.getOutputStream().write(2);
            silent(s);
            try (Socket c2 = client();
                    Socket s2 = accepted()) {
                c2.getOutputStream().write(3);
                assertEquals(3, s2.getInputStream().read());
            }
            proxy.heal();
            silent(s);
        }
    }

    @Test
    public void itClosesAfterSoManyBytes() throws IOException {
        proxy.closeAfter(Direction.OUT, 4);
        try (Socket c = client();
                Socket s = accepted()) {
            c.getOutputStream().write(new byte[] {1, 2, 3, 4, 5, 6});
            assertArrayEquals(new byte[] {1, 2, 3, 4}, s.getInputStream().readAllBytes());
        }
    }

    @Test
    public void delayedBytesComeLate() throws IOException {
        try (Socket c = client();
                Socket s = accepted()) {
            proxy.delay(Direction.OUT, 120);
            long begun = System.nanoTime();
            c.getOutputStream().write(1);
            assertEquals(1, s.getInputStream().read());
            assertEquals(true, System.nanoTime() - begun >= 120_000_000);
        }
    }

    @Test
    public void thePortStaysWhileWhereItLeadsChanges() throws IOException {
        int port = proxy.port();
        server.close();
        // Where nobody listens, and nobody else can begin to: the port that was let go of may be
        // another's by now.
        try (HeldPort nobodys = new HeldPort()) {
            proxy.setTarget(nobodys.address());
            try (Socket c = client()) {
                ended(c);
            }
        }
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(MOST_MILLIS);
        proxy.setTarget(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        try (Socket c = client();
                Socket s = accepted()) {
            c.getOutputStream().write(7);
            assertEquals(7, s.getInputStream().read());
        }
        assertEquals(port, proxy.port());
        proxy.setRefusing(true);
        try (Socket c = client()) {
            ended(c);
        }
    }
}

package postgrade.fleet.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.fleet.plan.FleetPlan;

/**
 * The dispatchers' ports are chosen where no outgoing connection can take them before they are
 * bound.
 */
class FleetPortsTest {

    @TempDir Path folder;

    @Test
    void dispatchersListenBelowTheEphemeralRange() throws Exception {
        int low = 32768;
        Path range = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
        if (Files.isReadable(range)) {
            low = Integer.parseInt(Files.readAllLines(range).get(0).trim().split("\\s+")[0]);
        }
        String plan =
                "seed = 3\nworkers = [worker(2, 'big', cores = 2, speed = (1, 2), zone = 'a', queue = 5)]\n"
                        + "classes = {'slot-check': work(10)}\ntenants = {'kvart-market': 100}\n";
        try (Fleet fleet = new Fleet(FleetPlan.of("t.star", plan), folder, 6, 1)) {
            Set<Integer> ports = new HashSet<>();
            for (InetSocketAddress a : fleet.dispatchers()) {
                assertTrue(
                        a.getPort() < low && a.getPort() >= 1024,
                        a + " is outside [1024, " + low + ")");
                ports.add(a.getPort());
            }
            assertEquals(6, ports.size(), "each dispatcher has a port of its own");
        }
    }

    @Test
    void aHeldPortIsNobodyElsesAndItsProcessMayListenOnItAgainAndAgain() throws Exception {
        try (HeldPort held = new HeldPort()) {
            assertThrows(IOException.class, () -> new HeldPort(held.port()), "held already");
            for (int i = 0; i < 3; i++) {
                try (ServerSocket process = new ServerSocket()) {
                    process.setReuseAddress(true);
                    process.bind(held.address());
                    new Socket(held.address().getAddress(), held.port()).close();
                    assertThrows(IOException.class, () -> new HeldPort(held.port()), "listened on");
                }
                assertThrows(
                        IOException.class,
                        () -> new Socket(held.address().getAddress(), held.port()),
                        "nobody there");
            }
        }
    }
}

package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The platform: starts dispatchers by the run line of the deploy file, from the repository's root,
 * and ends all that it started.
 */
final class Platform {

    /** A running dispatcher and its addresses. */
    record Dispatcher(
            String label, Process process, InetSocketAddress address, InetSocketAddress operator) {}

    private final Path root;
    private final Record record;
    private final Path folder;
    private final List<Process> started = new ArrayList<>();

    /** The core that the dispatchers run on, or null for any. */
    private String core;

    Platform(Path root, Record record) throws IOException {
        this.root = root;
        this.record = record;
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    private synchronized void endAll() {
        for (Process process : started) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            // A file that has gone by itself.
        }
    }

    /** Keeps the dispatchers to one core, as DEPLOY has it, where the machine has taskset. */
    void useOneCore() throws IOException {
        String own = Long.toString(ProcessHandle.current().pid());
        try {
            Process taskset = new ProcessBuilder("taskset", "-cp", own).start();
            String said = new String(taskset.getInputStream().readAllBytes());
            Matcher allowed = Pattern.compile(".*list:.*?([0-9]+)\\s*", Pattern.DOTALL).matcher(said);
            core = allowed.matches() ? allowed.group(1) : null;
        } catch (IOException e) {
            core = null;
        }
        record.line("platform", core == null ? "no taskset: all cores" : "all on core " + core);
    }

    /**
     * Returns a free loopback address. Its port is below those that the system gives to outgoing
     * connections, so that none of them takes it meanwhile.
     */
    static InetSocketAddress freeAddress() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            } catch (BindException e) {
                // In use; another one is tried.
            }
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Returns an empty folder for the $TMPDIR of a dispatcher. */
    Path newFolder(String name) throws IOException {
        return Files.createDirectory(folder.resolve(name));
    }

    /** Starts a process of a dispatcher; its log goes beside the record. */
    synchronized Dispatcher start(
            String label,
            InetSocketAddress listen,
            Path temporary,
            Discovery discovery,
            String settings,
            int sockets,
            Path log)
            throws IOException {
        InetSocketAddress operator = freeAddress();
        Path config = folder.resolve(label + ".json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\""
                        + text(listen)
                        + "\",\"discovery\":\""
                        + discovery.address()
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                        + sockets
                        + "},"
                        + "\"known\":"
                        + discovery.list()
                        + ",\"settings\":"
                        + settings
                        + "}");
        List<String> command = new ArrayList<>();
        if (core != null) {
            command.addAll(List.of("taskset", "-c", core));
        }
        command.addAll(List.of("/bin/sh", "-c", runLine()));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("ROUTER_NAME", "n1");
        builder.environment().put("ROUTER_LISTEN", text(listen));
        builder.environment().put("ROUTER_DISCOVERY", discovery.address());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("ROUTER_OPERATOR", text(operator));
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        started.add(process);
        record.line("platform", "starts " + label + " with the run line");
        return new Dispatcher(label, process, listen, operator);
    }

    private String runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line);
            if (run.matches()) {
                return run.group(1);
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    /** Asks until the answer is 200; false if the time is over or the process has ended. */
    boolean awaitYes(Dispatcher dispatcher, InetSocketAddress at, String path, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end && dispatcher.process().isAlive()) {
            if (status(at, path) == 200) {
                record.line("platform", dispatcher.label() + " says yes to " + path);
                return true;
            }
            Peer.sleep(50);
        }
        return false;
    }

    private static int status(InetSocketAddress at, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(at, 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            ("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                                    .getBytes());
            Http.Message answer = Http.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }
}

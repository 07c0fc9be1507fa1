import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send a job and, with the disruption, further ones at once behind it on the same
 * connection; without it each further one after the answer to the one before.
 */
final class Ahead extends Case {
    private static final int CLIENTS = 740;
    private static final int BODY_BYTES = 65_350;
    private static final long SPREAD_MS = 2500;
    private static final long DEADLINE_MS = 25_000;
    private Dispatcher dispatcher;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    private Ahead(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws Exception {
        main(new Ahead(args));
    }

    @Override
    void end() {
        try {
            dispatcher.end();
        } catch (InterruptedException | RuntimeException e) {
            // Nothing was started.
        }
    }

    @Override
    int run() throws Exception {
        String listen = Net.free();
        Discovery discovery = new Discovery(record, Net.LOOPBACK);
        for (int i = 0; i < 16; i++) {
            Worker worker = new Worker(record, "s-" + i, Net.LOOPBACK, listen);
            worker.runsForMillis = 6000;
            discovery.list(worker.id, worker.address(), "hall-a", 0, "ready", 0);
        }
        var settings =
                Dispatcher.settings(
                        List.of(Dispatcher.jobClass("over-summary", "read_like", "all", DEADLINE_MS, 1000, 5000)),
                        stretch(1));
        dispatcher =
                Dispatcher.start(
                        record,
                        root,
                        Files.createDirectories(temporary.resolve("n1")),
                        "n1",
                        Dispatcher.config(listen, discovery, settings, 1024));
        if (!dispatcher.awaitReady(listen, 30_000)) {
            return COULD_NOT_RUN;
        }
        Thread.sleep(1000);
        CountDownLatch open = new CountDownLatch(CLIENTS);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Threads.run("client", () -> {
                try {
                    client(number, listen, open);
                } finally {
                    done.countDown();
                }
            });
        }
        boolean exited = false;
        for (int i = 0; i < 400 && done.getCount() > 0 && !exited; i++) {
            exited = dispatcher.process.waitFor(100, TimeUnit.MILLISECONDS);
        }
        done.await(2, TimeUnit.SECONDS);
        record.add("clients", served + " served, " + refused + " refused, " + failed + " failed, " + unanswered + " unanswered");
        System.out.println(served + " served, " + refused + " refused, " + failed + " failed, " + unanswered + " unanswered");
        if (exited) {
            record.add("n1", "has ended by itself with exit code " + dispatcher.process.exitValue());
            System.out.println("the dispatcher ended by itself, exit code " + dispatcher.process.exitValue());
            return BROKEN;
        }
        int ready = Dispatcher.ready(listen);
        record.add("n1", "lives; GET /-/ready is answered " + ready);
        return ready == 0 ? BROKEN : HELD;
    }

    private void client(int number, String listen, CountDownLatch open) throws Exception {
        String name = "client-" + number;
        open.countDown();
        open.await();
        Thread.sleep(SPREAD_MS * number / CLIENTS);
        List<byte[]> jobs = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            byte[] body = new byte[i == 0 && number >= 110 ? 4000 : BODY_BYTES];
            jobs.add(Http.job(String.format("%08x%08x", number, i), "over-summary", null, DEADLINE_MS, body));
        }
        if (trouble) {
            send(name, listen, jobs);
        } else {
            oneByOne(name, listen, jobs);
        }
    }

    /** Sends all jobs on one connection before any answer. */
    private void send(String name, String listen, List<byte[]> jobs) {
        int answers = 0;
        try (Socket socket = Net.connect(listen)) {
            socket.setSoTimeout((int) DEADLINE_MS + 1000);
            for (byte[] job : jobs) {
                socket.getOutputStream().write(job);
            }
            record.add(name, "has sent " + jobs.size() + " jobs at once");
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
            for (boolean open = true; open && answers < jobs.size(); ) {
                Http answer = Http.read(in);
                open = answer != null && !answer.closes();
                if (answer != null) {
                    answers++;
                    count(name, answer);
                }
            }
        } catch (IOException e) {
            record.add(name, "is broken: " + e.getMessage());
        }
        unanswered.addAndGet(jobs.size() - answers);
    }

    /** Sends each job after the answer to the one before, once more where a kept connection has ended. */
    private void oneByOne(String name, String listen, List<byte[]> jobs) throws IOException {
        Socket socket = null;
        for (byte[] job : jobs) {
            Http answer = null;
            if (socket != null) {
                try {
                    answer = exchange(socket, job);
                } catch (IOException e) {
                    record.add(name, "sends once more: " + e.getMessage());
                }
            }
            if (answer == null) {
                socket = Net.connect(listen);
                try {
                    answer = exchange(socket, job);
                } catch (IOException e) {
                    record.add(name, "is broken: " + e.getMessage());
                }
            }
            if (answer == null) {
                unanswered.incrementAndGet();
                socket = null;
            } else {
                count(name, answer);
                if (answer.closes()) {
                    socket.close();
                    socket = null;
                }
            }
        }
        if (socket != null) {
            socket.close();
        }
    }

    private static Http exchange(Socket socket, byte[] job) throws IOException {
        socket.setSoTimeout((int) DEADLINE_MS + 1000);
        socket.getOutputStream().write(job);
        return Http.read(new BufferedInputStream(socket.getInputStream(), 1024));
    }

    private void count(String name, Http answer) {
        record.add(name, "gets " + answer.status());
        (answer.status() == 200 ? served : answer.status() == 429 || answer.status() == 503 ? refused : failed)
                .incrementAndGet();
    }
}

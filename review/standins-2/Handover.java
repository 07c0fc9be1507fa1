import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep a connection each and send a job at a time; others come on new connections, with less
 * time. With the disruption a new version takes over meanwhile. No job may be answered too late.
 */
final class Handover extends Case {
    private static final int CLIENTS = 290;
    private static final int NEW_PER_SECOND = 20;
    private static final long SHORT_MS = 600;
    private static final long DEADLINE_MS = 25_000;
    private static final double SECONDS = 28;

    private final List<Dispatcher> processes = new ArrayList<>();
    private final AtomicInteger jobs = new AtomicInteger();
    private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    private final CountDownLatch done = new CountDownLatch(1);
    private final AtomicInteger clients = new AtomicInteger();
    private volatile double killSeconds = -1;
    private volatile double termSeconds = -1;

    private Handover(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws Exception {
        main(new Handover(args));
    }

    @Override
    void end() {
        for (Dispatcher process : List.copyOf(processes)) {
            try {
                process.end();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void count(String what) {
        results.computeIfAbsent(what, unused -> new AtomicInteger()).incrementAndGet();
    }

    @Override
    int run() throws Exception {
        String listen = Net.free();
        Discovery discovery = new Discovery(record, Net.LOOPBACK);
        for (int i = 0; i < 64; i++) {
            Worker worker =
                    new Worker(record, "s-" + i, Net.LOOPBACK, listen) {
                        @Override
                        long runsForMillis(Http request) {
                            return request.body.length == 300 ? 8000 : 150;
                        }
                    };
            discovery.list(worker.id, worker.address(), "hall-a", 0, "ready", 0);
        }
        var settings =
                Dispatcher.settings(
                        List.of(Dispatcher.jobClass("over-summary", "read_like", "all", DEADLINE_MS, 1000, 5000),
                                Dispatcher.jobClass("slot-check", "read_like", "all", 5000, 200, 5000)),
                        stretch(2));
        Path folder = Files.createDirectories(temporary.resolve("n1"));
        var config = Dispatcher.config(listen, discovery, settings, 512);
        config.put("operator", Net.free());
        Dispatcher first = Dispatcher.start(record, root, folder, "first", config);
        processes.add(first);
        if (!first.awaitReady(listen, 30_000)) {
            return COULD_NOT_RUN;
        }
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.incrementAndGet();
            Threads.run("client", () -> {
                Thread.sleep(40L * number);
                keepsConnection(listen);
                clients.decrementAndGet();
            });
        }
        Threads.run("front", () -> {
            while (record.seconds() < SECONDS) {
                Thread.sleep(1000 / NEW_PER_SECOND);
                clients.incrementAndGet();
                Threads.run("new client", () -> {
                    Socket[] socket = {null};
                    oneJob(listen, socket, new BufferedInputStream[1], SHORT_MS);
                    if (socket[0] != null) {
                        socket[0].close();
                    }
                    clients.decrementAndGet();
                });
            }
        });
        Thread.sleep(13_000);
        if (trouble) {
            String second = Net.free();
            config.put("operator", second);
            Files.writeString(folder.resolve("config.json"), Json.write(config));
            processes.add(Dispatcher.start(record, root, folder, "second", config));
            long end = System.nanoTime() + 6_000_000_000L;
            while (status(second) != 200) {
                if (System.nanoTime() > end) {
                    record.add("second", "does not say yes in time");
                    return COULD_NOT_RUN;
                }
                Thread.sleep(50);
            }
            record.add("second", "says yes");
            termSeconds = record.seconds();
            first.signal("TERM");
            if (!first.process.waitFor(3700, TimeUnit.MILLISECONDS)) {
                killSeconds = record.seconds();
                first.signal("KILL");
            } else {
                record.add("first", "has ended");
            }
        }
        while (record.seconds() < SECONDS || clients.get() > 0 && record.seconds() < SECONDS + 25) {
            Thread.sleep(100);
        }
        record.add("case", results.toString());
        System.out.println(results);
        return results.containsKey("short late") || results.containsKey("long late") ? BROKEN : HELD;
    }

    private static int status(String operator) {
        try (Socket socket = Net.connect(operator)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /status HTTP/1.1\r\nHost: d\r\n\r\n".getBytes());
            Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    private void keepsConnection(String listen) throws Exception {
        Socket[] socket = {null};
        BufferedInputStream[] in = {null};
        while (record.seconds() < SECONDS) {
            if (oneJob(listen, socket, in, DEADLINE_MS) != 200) {
                sleep(500);
            }
        }
    }

    /** Sends a job, once more on a new connection where a kept one ended under it, and judges the answer. */
    private int oneJob(String listen, Socket[] socket, BufferedInputStream[] in, long deadlineMs) throws IOException {
        String id = String.format("%016x", jobs.incrementAndGet());
        byte[] job = Http.job(id, deadlineMs == SHORT_MS ? "slot-check" : "over-summary", null, deadlineMs, new byte[deadlineMs == SHORT_MS ? 100 : 300]);
        for (int attempt = 0; attempt < 2; attempt++) {
            boolean kept = socket[0] != null;
            double sent = -1;
            String end = "the end of the connection";
            try {
                if (!kept) {
                    socket[0] = Net.connect(listen);
                    in[0] = new BufferedInputStream(socket[0].getInputStream(), 1024);
                }
                socket[0].setSoTimeout((int) deadlineMs + 10_000);
                socket[0].getOutputStream().write(job);
                sent = record.seconds();
                record.add("client", "has sent " + id + (kept ? "" : " on a new connection") + ", time " + deadlineMs + " ms");
                Http answer = Http.read(in[0]);
                if (answer != null) {
                    boolean late = record.seconds() - sent > (deadlineMs + 550) / 1000.0;
                    count((deadlineMs == SHORT_MS ? "short " : "long ") + (late ? "late" : "" + answer.status()));
                    record.add(
                            "client",
                            id + " is answered " + answer.status() + (late ? " late" : "") + ", after " + (record.seconds() - sent));
                    if (answer.closes()) {
                        socket[0].close();
                        socket[0] = null;
                    }
                    return answer.status();
                }
            } catch (IOException e) {
                end = e.getMessage();
            }
            if (socket[0] != null) {
                socket[0].close();
                socket[0] = null;
            }
            if (sent < 0) {
                count("not taken");
                return 0;
            }
            if (!kept) {
                // At SIGKILL: what came early is excused, and a job that was never read is priced, no break.
                boolean ended = killSeconds >= 0 && record.seconds() >= killSeconds;
                count(!ended ? "no answer" : sent < termSeconds + 0.7 ? "excused" : "unheard up to SIGKILL");
                record.add("client", id + " gets no answer, sent at " + sent + " on a new connection: " + end);
                return 0;
            }
        }
        return 0;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

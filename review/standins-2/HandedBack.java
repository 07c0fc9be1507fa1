import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two workers turn the first attempt of each job away, the one by a call-back, the other by its
 * answer, and run further ones. With the disruption the answers of the first moment get lost between
 * the first worker and the dispatcher, in both directions, so that its call-back is repeated. A job
 * that must not run twice must not.
 */
final class HandedBack extends Case {
    private static final long DEADLINE_MS = 5000;
    private static final int JOBS = 10;
    private Dispatcher dispatcher;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private HandedBack(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws Exception {
        main(new HandedBack(args));
    }

    @Override
    void end() {
        try {
            dispatcher.end();
        } catch (InterruptedException | RuntimeException e) {
            // Nothing was started.
        }
    }

    /** A worker that is full when a job first comes to it. */
    private final class FullAtFirst extends Worker {
        private final boolean byCallBack;
        private final List<String> turnedAway = new ArrayList<>();

        FullAtFirst(String id, InetAddress address, String dispatcher, boolean byCallBack) throws IOException {
            super(HandedBack.this.record, id, address, dispatcher);
            this.byCallBack = byCallBack;
            runsForMillis = 900;
        }

        @Override
        void take(String job, Http request, OutputStream out) throws IOException {
            boolean first;
            synchronized (turnedAway) {
                first = !turnedAway.contains(job);
                turnedAway.add(job);
            }
            if (!first) {
                record.add(id, "starts " + job);
                runs.computeIfAbsent(job, unused -> new AtomicInteger()).incrementAndGet();
                super.take(job, request, out);
            } else if (byCallBack) {
                record.add(id, "takes " + job + " and hands it back unstarted");
                out.write(Http.answer(202, "", ""));
                report(job, "{\"id\":\"" + job + "\",\"from\":\"" + id + "\",\"state\":\"returned\"}");
            } else {
                record.add(id, "turns " + job + " away");
                out.write(Http.answer(503, "X-Not-Run: 1\r\n", ""));
            }
        }
    }

    @Override
    int run() throws Exception {
        String listen = Net.free();
        CallBack.patienceMillis = 300;
        Discovery discovery = new Discovery(record, Net.LOOPBACK);
        Proxy toDispatcher = new Proxy(record, "network to n1", listen);
        FullAtFirst one = new FullAtFirst("s-1", Net.LOOPBACK, toDispatcher.address(), true);
        Proxy toWorker = new Proxy(record, "network to s-1", one.address());
        FullAtFirst two = new FullAtFirst("s-2", Net.LOOPBACK, listen, false);
        discovery.list("s-1", toWorker.address(), "hall-a", 0, "ready", 0);
        discovery.list("s-2", two.address(), "hall-a", 0, "ready", 0);
        var settings =
                Dispatcher.settings(
                        List.of(Dispatcher.jobClass("order-confirm", "non_idempotent", "all", DEADLINE_MS, 200, 5000)),
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
        Map<String, Integer> answers = new LinkedHashMap<>();
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("%016x", 0x51000 + i);
            toDispatcher.losesAnswers = trouble;
            toWorker.losesAnswers = trouble;
            Thread end = Threads.run("end-of-loss", () -> {
                Thread.sleep(100);
                toDispatcher.losesAnswers = false;
                toWorker.losesAnswers = false;
            });
            try (Socket socket = Net.connect(listen)) {
                socket.setSoTimeout((int) DEADLINE_MS + 600);
                record.add("client", "sends " + job);
                socket.getOutputStream().write(Http.job(job, "order-confirm", null, DEADLINE_MS, new byte[100]));
                Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                answers.put(job, answer == null ? 0 : answer.status());
                record.add("client", job + " is answered " + answers.get(job));
            } catch (IOException e) {
                record.add("client", job + " gets no answer: " + e.getMessage());
            }
            end.join();
            Thread.sleep(1200);
        }
        long twice = runs.values().stream().filter(count -> count.get() > 1).count();
        record.add("case", runs.size() + " jobs ran, " + twice + " of them more than once; answers " + answers.values());
        System.out.println(runs.size() + " jobs ran, " + twice + " of them more than once; answers " + answers.values());
        return twice > 0 ? BROKEN : HELD;
    }
}

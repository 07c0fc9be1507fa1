package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A worker that runs one job a core and tells starts, progress each second, and ends. A DELETE drops
 * a waiting job; a running one goes on and is reported on, as on the days on which running work goes
 * on. A call is repeated until it is answered, at most ten times.
 */
final class Worker extends Peer {

    /** Handles what must not be seen by the checks of a case. */
    interface Runs {
        /** Returns how long the job runs, from the body that its client sent. */
        long millis(String body);
    }

    private static final int CORES = 4;
    private static final int MOST_CALLS = 10;
    private static final long PROGRESS_MILLIS = 1000;

    private final String id;
    private final Record record;
    private final Runs runs;
    private final ExecutorService cores =
            Executors.newFixedThreadPool(
                    CORES,
                    task -> {
                        Thread thread = new Thread(task, "core");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final ExecutorService calls =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "call");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Jobs here: true once running. */
    private final Map<String, Boolean> jobs = new HashMap<>();

    private volatile InetSocketAddress dispatcher;

    Worker(String id, Record record, Runs runs) {
        this.id = id;
        this.record = record;
        this.runs = runs;
    }

    /** Sets where call-backs go. */
    void reportTo(InetSocketAddress address) {
        dispatcher = address;
    }

    String entry() {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\""
                + address()
                + "\",\"zone\":\"hall-a\",\"kind\":\"big-fast\",\"cell\":0,\"state\":\"ready\","
                + "\"weight\":1.0,\"started_ms\":0}";
    }

    @Override
    void serve(Socket socket) throws IOException {
        for (Http.Message call = Http.read(socket.getInputStream());
                call != null;
                call = Http.read(socket.getInputStream())) {
            socket.getOutputStream().write(Http.message(answer(call), new byte[0]));
        }
    }

    private String answer(Http.Message call) {
        if (call.word(0).equals("DELETE")) {
            String job = call.word(1).substring("/jobs/".length());
            synchronized (jobs) {
                Boolean running = jobs.get(job);
                record.line(id, "DELETE " + job + " running=" + running);
                if (Boolean.FALSE.equals(running)) {
                    jobs.remove(job);
                }
                return running == null ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK";
            }
        }
        String job = call.headers().get("x-request-id");
        if (!call.word(0).equals("POST") || job == null) {
            return "HTTP/1.1 404 Not Found";
        }
        record.line(id, "taken " + job + " X-Deadline=" + call.headers().get("x-deadline"));
        synchronized (jobs) {
            jobs.put(job, false);
        }
        cores.execute(() -> run(job, call.text()));
        return "HTTP/1.1 202 Accepted";
    }

    private void run(String job, String body) {
        synchronized (jobs) {
            if (!jobs.containsKey(job)) {
                return; // Given up while it waited.
            }
            jobs.put(job, true);
        }
        record.line(id, "started " + job);
        report(job, "\"state\":\"started\"");
        long millis = runs.millis(body);
        long done = 0;
        while (millis - done > PROGRESS_MILLIS) {
            sleep(PROGRESS_MILLIS);
            done += PROGRESS_MILLIS;
            report(
                    job,
                    String.format(
                            Locale.ROOT,
                            "\"state\":\"running\",\"share\":%.2f",
                            (double) done / millis));
        }
        sleep(millis - done);
        synchronized (jobs) {
            jobs.remove(job);
        }
        record.line(id, "done " + job);
        report(job, "\"state\":\"done\",\"result\":\"result of " + job + "\"");
    }

    private void report(String job, String fields) {
        byte[] body =
                ("{\"id\":\"" + job + "\",\"from\":\"" + id + "\"," + fields + "}")
                        .getBytes(StandardCharsets.UTF_8);
        calls.execute(
                () -> {
                    for (int i = 0; i < MOST_CALLS && !call(body); i++) {
                        sleep(100);
                    }
                });
    }

    private boolean call(byte[] body) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(dispatcher, 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write(
                            Http.message(
                                    "POST /v1/job-events HTTP/1.1",
                                    body,
                                    "Host: dispatcher",
                                    "Connection: close"));
            Http.Message answer = Http.read(socket.getInputStream());
            return answer != null && answer.status() / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }
}

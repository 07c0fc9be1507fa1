import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker: answers 202, runs the job for its time beside all others, and tells its start and end by
 * call-backs, each repeated until answered, at most ten times. Cases override what they need.
 */
class Worker {
    final Record record;
    final String id;
    final ServerSocket server;
    final String dispatcher;
    final Map<String, String> jobs = new ConcurrentHashMap<>();
    volatile long runsForMillis = 300;
    private static final ScheduledExecutorService CLOCK =
            Executors.newScheduledThreadPool(
                    8,
                    task -> {
                        Thread thread = new Thread(task, "worker-clock");
                        thread.setDaemon(true);
                        return thread;
                    });

    Worker(Record record, String id, InetAddress address, String dispatcher) throws IOException {
        this.record = record;
        this.id = id;
        this.dispatcher = dispatcher;
        server = new ServerSocket(0, 1024, address);
        Threads.run("worker", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.run("worker-connection", () -> serve(socket));
        }
    }

    void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.method().equals("DELETE")) {
                    String job = request.target().substring("/jobs/".length());
                    boolean found = jobs.remove(job) != null;
                    record.add(id, "is told to give up " + job + (found ? "" : ", unknown"));
                    out.write(Http.answer(found ? 204 : 404, "", ""));
                } else if (request.headers.containsKey("x-request-id")) {
                    take(request.headers.get("x-request-id"), request, out);
                } else {
                    out.write(Http.answer(404, "", ""));
                }
            }
        }
    }

    /** Takes a job whose last byte has come. */
    void take(String job, Http request, OutputStream out) throws IOException {
        record.add(id, "receives " + job);
        jobs.put(job, "running");
        out.write(Http.answer(202, "", ""));
        report(job, "{\"id\":\"" + job + "\",\"from\":\"" + id + "\",\"state\":\"started\"}");
        CLOCK.schedule(() -> finish(job), runsForMillis(request), TimeUnit.MILLISECONDS);
    }

    long runsForMillis(Http request) {
        return runsForMillis;
    }

    void finish(String job) {
        if (jobs.remove(job) != null) {
            record.add(id, "has run " + job);
            report(
                    job,
                    "{\"id\":\"" + job + "\",\"from\":\"" + id + "\",\"state\":\"done\",\"result\":\"r-" + job + "\"}");
        }
    }

    /** Sends a call-back, in a thread of its own. */
    void report(String job, String event) {
        String dispatcher = this.dispatcher;
        CLOCK.execute(() -> Threads.run("call-back", () -> {
            for (int attempt = 0; attempt < 10; attempt++) {
                if (CallBack.send(dispatcher, event)) {
                    return;
                }
                Thread.sleep(100);
            }
            record.add(id, "gives up to tell " + event);
        }));
    }
}

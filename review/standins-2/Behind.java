import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.List;
import java.util.Locale;

/**
 * One client that sends some jobs at once on one connection; without the disruption each after the
 * answer to the one before. Each has to get its final answer in time. Arguments: how many jobs, the
 * bytes of a body, how long a job runs.
 */
final class Behind extends Case {
    private static final long DEADLINE_MS = 5000;

    /** STANDING: half a second after its time a request is lost; PROTOCOL: limits are 50 ms longer. */
    private static final long LOST_AFTER_MS = DEADLINE_MS + 500 + 50;

    private final int jobs;
    private final int bodyBytes;
    private final long runsForMillis;
    private Dispatcher dispatcher;

    private Behind(String[] args) throws IOException {
        super(args);
        jobs = Integer.parseInt(args[2]);
        bodyBytes = Integer.parseInt(args[3]);
        runsForMillis = Long.parseLong(args[4]);
    }

    public static void main(String[] args) throws Exception {
        main(new Behind(args));
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
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker(record, "s-" + i, Net.LOOPBACK, listen);
            worker.runsForMillis = runsForMillis;
            discovery.list(worker.id, worker.address(), "hall-a", 0, "ready", 0);
        }
        var settings =
                Dispatcher.settings(
                        List.of(Dispatcher.jobClass("slot-check", "read_like", "all", DEADLINE_MS, 200, 5000)),
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
        int lost = trouble ? atOnce(listen) : oneByOne(listen);
        System.out.println(lost + " of " + jobs + " jobs lost");
        record.add("client", lost + " of " + jobs + " jobs lost");
        return lost > 0 || !dispatcher.process.isAlive() ? BROKEN : HELD;
    }

    private byte[] job(int number) {
        return Http.job(String.format("%016x", 0x7000 + number), "slot-check", null, DEADLINE_MS, new byte[bodyBytes]);
    }

    private int atOnce(String listen) throws Exception {
        double[] lastByte = new double[jobs];
        int inTime = 0;
        try (Socket socket = Net.connect(listen)) {
            Thread writer = Threads.run("writer", () -> {
                for (int i = 0; i < jobs; i++) {
                    lastByte[i] = Double.MAX_VALUE;
                    byte[] job = job(i);
                    socket.getOutputStream().write(job);
                    lastByte[i] = record.seconds();
                    record.add("client", "has written the last byte of job " + i);
                }
            });
            socket.setSoTimeout(60_000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            for (int i = 0; i < jobs && open; i++) {
                Http answer = Http.read(in);
                if (answer == null) {
                    record.add("client", "sees the end of the connection, with no answer to job " + i);
                    break;
                }
                inTime += judge(i, answer, record.seconds() - lastByte[i]);
                open = !answer.closes();
            }
            writer.join(1000);
        } catch (IOException e) {
            record.add("client", "the connection is broken: " + e.getMessage());
        }
        int taken = 0;
        for (double written : lastByte) {
            taken += written > 0 && written < Double.MAX_VALUE ? 1 : 0;
        }
        record.add("client", taken + " jobs written whole, " + inTime + " answered in time");
        return taken - Math.min(taken, inTime);
    }

    private int oneByOne(String listen) throws IOException {
        int lost = 0;
        try (Socket socket = Net.connect(listen)) {
            socket.setSoTimeout(60_000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < jobs; i++) {
                socket.getOutputStream().write(job(i));
                double written = record.seconds();
                Http answer = Http.read(in);
                if (answer == null) {
                    return jobs - i;
                }
                lost += 1 - judge(i, answer, record.seconds() - written);
            }
        }
        return lost;
    }

    /** Returns 1 if the answer came in time, whatever it is, else 0. */
    private int judge(int number, Http answer, double seconds) {
        boolean inTime = seconds * 1000 <= LOST_AFTER_MS;
        record.add(
                "client",
                String.format(
                        Locale.ROOT,
                        "job %d is answered %d after %.3f s%s%s",
                        number,
                        answer.status(),
                        seconds,
                        answer.closes() ? ", and that the connection ends" : "",
                        inTime ? "" : ": too late"));
        return inTime ? 1 : 0;
    }
}

package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * A client: sends one request at a time on a connection that it keeps. A request that meets the end
 * of a kept connection is sent once more on a new one.
 */
final class Client {

    /** What became of a request. */
    enum End {
        /** Got a whole answer in time. */
        ANSWERED,
        /** Its client left, as it was to. */
        LEFT,
        /** No connection came up: the dispatcher has not taken the request. */
        UNREACHED,
        /** Its connection ended without a whole answer. */
        CUT_OFF,
        /** No whole answer half a second after its time. */
        OVERDUE
    }

    /** Half a second, the grace of the page, and 0.25 s for this machine's own delays. */
    private static final int GRACE_MILLIS = 750;

    private static final double CROSSING_SECONDS = 0.05;

    private final String name;
    private final InetSocketAddress dispatcher;
    private final Record record;
    private Socket socket;
    private boolean fresh;

    /** Whether the connection ended so soon after the request that the two may have crossed. */
    private boolean crossed;

    Client(String name, InetSocketAddress dispatcher, Record record) {
        this.name = name;
        this.dispatcher = dispatcher;
        this.record = record;
    }

    /**
     * Submits a job and waits for its answer.
     *
     * @param leaveMillis after which time the client closes its connection, 0 for never
     */
    End submit(
            String id, String jobClass, String tenant, int deadlineMillis, int leaveMillis, String body) {
        for (boolean again = false; ; again = true) {
            End end = trySubmit(id, jobClass, tenant, deadlineMillis, leaveMillis, body);
            boolean metTheEnd = end == End.CUT_OFF && !fresh && !again && crossed;
            if (end != End.ANSWERED) {
                close();
            }
            if (!metTheEnd) {
                return again && end == End.UNREACHED ? End.CUT_OFF : end;
            }
        }
    }

    private End trySubmit(
            String id, String jobClass, String tenant, int deadlineMillis, int leaveMillis, String body) {
        fresh = socket == null;
        try {
            if (fresh) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(dispatcher, 1000);
            }
        } catch (IOException e) {
            record.line(name, "not reached " + id + " (" + e.getMessage() + ")");
            return End.UNREACHED;
        }
        double sent = Record.seconds();
        try {
            socket.getOutputStream()
                    .write(
                            Http.message(
                                    "POST /api HTTP/1.1",
                                    body.getBytes(StandardCharsets.UTF_8),
                                    "Host: backend.local",
                                    "X-Request-Id: " + id,
                                    "X-Class: " + jobClass,
                                    "X-Tenant: " + tenant,
                                    "X-Deadline: " + deadlineMillis + "m"));
            record.line(name, "sent " + id + " " + jobClass + (fresh ? " (new connection)" : ""));
            socket.setSoTimeout(leaveMillis > 0 ? leaveMillis : deadlineMillis + GRACE_MILLIS);
            Http.Message answer = Http.read(socket.getInputStream());
            crossed = Record.seconds() - sent < CROSSING_SECONDS;
            if (answer == null) {
                record.line(name, "connection ended without an answer to " + id);
                return End.CUT_OFF;
            }
            record.line(name, "answer " + answer.status() + " to " + id);
            if (answer.endsConnection()) {
                close();
            }
            return End.ANSWERED;
        } catch (SocketTimeoutException e) {
            record.line(name, leaveMillis > 0 ? "leaves " + id : "no answer in time to " + id);
            return leaveMillis > 0 ? End.LEFT : End.OVERDUE;
        } catch (IOException e) {
            crossed = Record.seconds() - sent < CROSSING_SECONDS;
            record.line(name, "connection broke under " + id + " (" + e.getMessage() + ")");
            return End.CUT_OFF;
        }
    }

    void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is over either way.
        }
        socket = null;
    }
}

package postgrade.daemon;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Training run for the class-data archive: takes one dispatcher through a job, a rejection and a
 * graceful stop against peers in this process, all on loopback. The JVM records which classes were
 * loaded; the build makes the class-data archive from that record, which shortens later starts.
 */
final class ClassDataTraining {

    private static final int READ_TIMEOUT_MS = 10_000;
    private static final String SETTINGS =
            "{'balancers':1,'zone':'a','classes':[{'name':'price','idempotency':"
                    + "'read_like','onTimeNs':200000000,'deadlineNs':1000000000}],'tenants':[{'name':'t','quotaPerS':100}],"
                    + "'limits':{'cancel':true,'maxAttempts':4},'specifics':{'tellsStart':true}}";

    private ClassDataTraining() {}

    static void run() throws IOException, InterruptedException {
        try (ServerSocket worker = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Path file = Files.createTempFile("postgrade", ".json");
            try {
                JsonObject config =
                        Json.object()
                                .add("name", "n1")
                                .add("listen", "127.0.0.1:0")
                                .add("discovery", "127.0.0.1:" + discovery.getLocalPort())
                                .add("seed", "8c1f30d27a5be964")
                                .add("settings", Json.parse(SETTINGS.replace('\'', '"')))
                                .add("known", Json.parse(workerListJson(worker.getLocalPort())));
                Files.writeString(file, config.toString());
                Daemon daemon = new Daemon(Config.read(Map.of("ROUTER_CONFIG", file.toString())));
                daemon.start();
                exchangeMessages(daemon, worker, discovery);
                daemon.reload();
                daemon.stop();
            } catch (Config.InvalidConfigException e) {
                throw new IOException(e);
            } finally {
                Files.delete(file);
            }
        }
    }

    private static String workerListJson(int port) {
        return ("{'version':1,'full':true,'servers':[{'id':'s-1','addr':'127.0.0.1:"
                        + port
                        + "','zone':'a',"
                        + "'kind':'m','cell':0,'state':'ready','weight':1.0,'started_ms':0}]}")
                .replace('\'', '"');
    }

    private static void exchangeMessages(Daemon daemon, ServerSocket worker, ServerSocket discovery)
            throws IOException {
        try (Socket watchConnection = discovery.accept();
                Socket clientConnection = connect(daemon)) {
            read(watchConnection);
            String listUpdate = workerListJson(worker.getLocalPort()) + "\n";
            write(
                    watchConnection,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(listUpdate.length())
                            + "\r\n"
                            + listUpdate
                            + "\r\n");
            write(clientConnection, "GET /-/ready HTTP/1.1\r\n\r\n");
            read(clientConnection);
            write(clientConnection, jobRequest("1", "price"));
            try (Socket workerConnection = worker.accept();
                    Socket callBackConnection = connect(daemon)) {
                read(workerConnection);
                write(workerConnection, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                for (String state : new String[] {"started", "done"}) {
                    String event =
                            "{\"id\":\"1\",\"from\":\"s-1\",\"state\":\""
                                    + state
                                    + "\",\"result\":\"r\"}";
                    write(
                            callBackConnection,
                            "POST /v1/job-events HTTP/1.1\r\nContent-Length: "
                                    + event.length()
                                    + "\r\n\r\n"
                                    + event);
                    read(callBackConnection);
                }
                read(clientConnection);
            }
            write(clientConnection, jobRequest("2", "unknown"));
            read(clientConnection);
        }
    }

    private static String jobRequest(String id, String jobClass) {
        return "POST /api HTTP/1.1\r\nHost: b\r\nX-Request-Id: "
                + id
                + "\r\nX-Class: "
                + jobClass
                + "\r\nX-Tenant: t\r\nX-Key: k\r\nX-Deadline: 1000m\r\nContent-Length: 1\r\n\r\nx";
    }

    private static Socket connect(Daemon daemon) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), daemon.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads what has arrived so far, which for the small messages here is one whole message. */
    private static void read(Socket socket) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        InputStream in = socket.getInputStream();
        if (in.read(new byte[4096]) < 0) {
            throw new IOException("the dispatcher has closed the connection");
        }
    }
}

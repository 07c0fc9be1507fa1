package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.rules.TemporaryFolder;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.discovery.WatchTimeouts;
import postgrade.extension.DispatcherExtension;

/**
 * The stage of the stories: a daemon on loopback between scripted consumers, providers and
 * discovery.
 */
public abstract class DaemonTestBase {

    private static final List<String> HEEDS_SIGHUP = List.of("env", "--default-signal=HUP");
    private static final long MOST_PROGRAM_SECONDS = 180;

    /** Nothing is silent at its opening, however slow the machine; but soon after a line. */
    static final WatchTimeouts PATIENCE = new WatchTimeouts(20_000_000, 500_000, 0);

    static final String SETTINGS =
            "'balancers':1,'classes':["
                    + "{'name':'price','idempotency':'read_like','onTimeNs':20000000000,'deadlineNs':20000000000},"
                    + "{'name':'confirm','idempotency':'non_idempotent','onTimeNs':200000000,'deadlineNs':20000000000}],"
                    + "'limits':{'cancel':true,'maxAttempts':4,'mayDuplicate':false,'mostHeld':HELD,"
                    + "'connIdleNs':IDLE,'connectTimeoutNs':15000000000,'retryAfter':false,'maxRetryAfterNs':2000000000},"
                    + "'specifics':{'tellsStart':true}";

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    ScriptedPeer discovery;
    ScriptedPeer workerOne;
    ScriptedPeer workerTwo;
    Daemon daemon;
    ScriptedPolicy script;
    final List<Socket> sockets = new ArrayList<>();
    int maxHeldJobs = 100;
    long idleNs = 10_000_000_000L;
    int descriptorLimit = 1024;
    boolean withOperatorPort;
    String listen = "127.0.0.1:0";

    /** What stands beside the daemon, if anything is to. */
    DispatcherExtension.Configuration extensionConfiguration;

    /** The folder that the processes of one dispatcher share, if there is to be one. */
    Path shared;

    @Before
    public void startPeers() throws IOException {
        discovery = new ScriptedPeer();
        workerOne = new ScriptedPeer();
        workerTwo = new ScriptedPeer();
    }

    /**
     * A port for processes of one dispatcher that listen one after another, held by a socket that
     * is bound and never listens: nobody else is given it while none of them does.
     */
    String reserveAddress(String host) throws IOException {
        Socket holder = new Socket();
        sockets.add(holder);
        holder.setReuseAddress(false);
        holder.bind(new InetSocketAddress(host, 0));
        holder.setReuseAddress(true);
        return host + ":" + holder.getLocalPort();
    }

    @After
    public void closePeers() throws IOException {
        if (script != null) {
            // Guards the tests that follow: a script that sends again whatever fails would do so
            // for ever, and fill the heap,
            // once the consumer and the providers are gone.
            script.onJob = job -> {};
            script.onStarted = (id, attempt) -> {};
            script.onFinished = (id, outcome) -> {};
        }
        for (Socket s : sockets) {
            s.close();
        }
        for (ScriptedPeer p : List.of(discovery, workerOne, workerTwo)) {
            p.close();
        }
    }

    // ---- Setting the stage.

    static String workerEntry(String id, String address, String state) {
        return "{'id':'"
                + id
                + "','addr':'"
                + address
                + "','zone':'a','kind':'m','cell':0,'state':'"
                + state
                + "','weight':1.0,'started_ms':0}";
    }

    static String workerListJson(long version, boolean full, String... servers) {
        return ("{'version':"
                        + version
                        + ",'full':"
                        + full
                        + ",'servers':["
                        + String.join(",", servers)
                        + "]}")
                .replace('\'', '"');
    }

    Map<String, String> configuration(String... servers) throws IOException {
        Path file = folder.newFile().toPath();
        Files.writeString(
                file,
                ("{'name':'n1','listen':'"
                                        + listen
                                        + "','discovery':'"
                                        + discovery.address()
                                        + (withOperatorPort ? "','operator':'127.0.0.1:0" : "")
                                        + "','seed':'8c1f30d27a5be964','limits':{'sockets':"
                                        + descriptorLimit
                                        + "},'settings':{"
                                        + SETTINGS.replace("HELD", "" + maxHeldJobs)
                                                .replace("IDLE", "" + idleNs)
                                        + "},'known':")
                                .replace('\'', '"')
                        + workerListJson(41, true, servers)
                        + "}");
        return shared == null
                ? Map.of("ROUTER_CONFIG", file.toString())
                : Map.of("ROUTER_CONFIG", file.toString(), "TMPDIR", shared.toString());
    }

    void startDaemon(String... servers) throws Exception {
        daemon = new Daemon(Config.read(configuration(servers)), extensionConfiguration);
        daemon.start();
    }

    /** With a module that does what the test says. */
    void startWithScriptedPolicy(String... servers) throws Exception {
        daemon =
                new Daemon(
                        Config.read(configuration(servers)),
                        extensionConfiguration,
                        out -> script = new ScriptedPolicy(out),
                        PATIENCE);
        daemon.start();
        script.events.take(); // The stored list.
    }

    Socket connect() throws IOException {
        Socket s = new Socket(listen.split(":")[0], daemon.port());
        s.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(s);
        return s;
    }

    Socket post(String id, String jobClass, String deadline) throws IOException {
        Socket s = connect();
        post(s, id, jobClass, deadline);
        return s;
    }

    static void post(Socket s, String id, String jobClass, String deadline) {
        ScriptedPeer.write(
                s,
                "POST /api?a=b HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Class: "
                        + jobClass
                        + "\r\nX-Deadline: "
                        + deadline
                        + "\r\nContent-Length: 3\r\n\r\njob");
    }

    ReceivedMessage exchange(String text) throws IOException {
        Socket s = connect();
        ScriptedPeer.write(s, text);
        return ScriptedPeer.read(s);
    }

    int readinessStatus() throws IOException {
        return exchange("GET /-/ready HTTP/1.1\r\n\r\n").status();
    }

    int callBack(String body) throws IOException {
        String head =
                "POST /v1/job-events HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return exchange(head + body).status();
    }

    int callBack(String id, String from, String state) throws IOException {
        return callBack(
                "{\"id\":\""
                        + id
                        + "\",\"from\":\""
                        + from
                        + "\",\"state\":\""
                        + state
                        + "\",\"result\":\"made by "
                        + from
                        + "\"}");
    }

    void answerWatch(String line) throws InterruptedException {
        ReceivedMessage watch = discovery.awaitMessage("GET /api/targets?watch=1&from=41 ");
        ScriptedPeer.write(watch.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(watch, line);
    }

    /** One operator's call, and its answer; one call a connection. */
    ReceivedMessage operatorCall(Daemon of, String line, String body) throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), of.operatorPort());
        s.setSoTimeout(ScriptedPeer.TIMEOUT_S * 1000);
        sockets.add(s);
        ScriptedPeer.write(
                s, line + " HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        ReceivedMessage answer = ScriptedPeer.read(s);
        assertEquals("one call a connection", -1, s.getInputStream().read());
        s.close();
        return answer;
    }

    /** Tells it to end in order; {@link #awaitStopped} waits until it has. */
    static Thread stopInBackground(Daemon d) {
        Thread stop = new Thread(d::stop);
        stop.start();
        return stop;
    }

    static void awaitStopped(Thread stop) throws InterruptedException {
        TimeUnit.SECONDS.timedJoin(stop, ScriptedPeer.TIMEOUT_S);
        assertFalse("stopped", stop.isAlive());
    }

    static void writeChunk(ReceivedMessage watch, String line) {
        ScriptedPeer.write(
                watch.socket(), Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /**
     * A dispatcher in a process of its own, which is killed where a test waits for its log without
     * end. It heeds SIGHUP though the tests may have been started by nohup.
     *
     * @param by a command that starts it, if it is not to be started plainly
     */
    static Process program(Map<String, String> environment, String... by) throws IOException {
        List<String> command = new ArrayList<>(by.length > 0 ? List.of(by) : HEEDS_SIGHUP);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "postgrade.daemon.Main",
                        "serve"));
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().putAll(environment);
        Process program = b.start();
        CompletableFuture.delayedExecutor(MOST_PROGRAM_SECONDS, TimeUnit.SECONDS)
                .execute(program::destroyForcibly);
        return program;
    }
}

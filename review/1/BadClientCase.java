package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A bad client posts nested JSON to the path of the call-backs, a few times. */
final class BadClientCase extends Case {

    private static final int NESTING = 998;
    private static final int TIMES = 10;

    private BadClientCase(Path folder) {
        super(folder);
    }

    public static void main(String[] args) {
        run(new BadClientCase(Path.of(args[0])));
    }

    @Override
    String play() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(new Worker("s-00000" + i, record, Long::parseLong));
        }
        Discovery discovery = new Discovery(workers);
        Platform platform = new Platform(root, record);
        InetSocketAddress listen = Platform.freeAddress();
        workers.forEach(worker -> worker.reportTo(listen));
        workers.forEach(Peer::open);
        discovery.open();
        Platform.Dispatcher dispatcher =
                platform.start(
                        "n1",
                        listen,
                        platform.newFolder("n1"),
                        discovery,
                        SETTINGS,
                        SOCKETS,
                        folder.resolve("n1.log"));
        require(platform.awaitYes(dispatcher, listen, "/-/ready", 30_000), "not ready in 30 s");

        Load load = new Load();
        for (int i = 0; i < 4; i++) {
            load.add(new Load.Kind("order-confirm", "zeleni-kos", 5000, 0, 300, "250"), listen, record);
            load.add(new Load.Kind("basket-price", "kvart-market", 5000, 0, 300, "400"), listen, record);
        }
        Peer.sleep(4000);
        require(load.lost().isEmpty(), "requests were lost before the disruption");
        if (trouble) {
            for (int i = 0; i < TIMES && dispatcher.process().isAlive(); i++) {
                sendNested(listen);
                Peer.sleep(100);
            }
        }
        Peer.sleep(3000);
        boolean alive = dispatcher.process().isAlive();
        load.end();
        record.line("case", load.counts());
        if (!alive) {
            return "the dispatcher's process ended with exit code "
                    + dispatcher.process().exitValue()
                    + "; lost with it: "
                    + load.lost();
        }
        return load.lost().isEmpty() ? null : "lost: " + load.lost();
    }

    private void sendNested(InetSocketAddress listen) {
        byte[] body =
                ("{\"id\":\"9b1f03aa5c7e2d41\",\"from\":\"s-000000\",\"state\":\"done\",\"result\":"
                                + "[".repeat(NESTING)
                                + "]".repeat(NESTING)
                                + "}")
                        .getBytes(StandardCharsets.UTF_8);
        record.line("bad client", "sends POST /v1/job-events with " + body.length + " bytes");
        try (Socket socket = new Socket()) {
            socket.connect(listen, 1000);
            socket.setSoTimeout(3000);
            OutputStream out = socket.getOutputStream();
            out.write(Http.message("POST /v1/job-events HTTP/1.1", body, "Host: dispatcher"));
            Http.Message answer = Http.read(socket.getInputStream());
            record.line("bad client", answer == null ? "no answer" : "answer " + answer.status());
        } catch (IOException e) {
            record.line("bad client", "connection broke (" + e.getMessage() + ")");
        }
    }
}

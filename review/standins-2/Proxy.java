import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** Passes on what comes on its connections; while answers get lost, none that comes back. */
final class Proxy {
    private final Record record;
    private final String name;
    private final String target;
    private final ServerSocket server;
    volatile boolean losesAnswers;

    Proxy(Record record, String name, String target) throws IOException {
        this.record = record;
        this.name = name;
        this.target = target;
        server = new ServerSocket(0, 256, Net.LOOPBACK);
        Threads.run("proxy", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket from = server.accept();
            Threads.run("proxy-connection", () -> {
                try (from; Socket to = Net.connect(target)) {
                    from.setTcpNoDelay(true);
                    Thread back = Threads.run("proxy-back", () -> pass(to, from, true));
                    pass(from, to, false);
                    back.join();
                }
            });
        }
    }

    private void pass(Socket from, Socket to, boolean answers) throws IOException {
        byte[] buffer = new byte[16 << 10];
        boolean lost = false;
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                lost |= answers && losesAnswers; // What follows a lost part is lost with it.
                if (lost) {
                    record.add(name, "loses an answer: " + new String(buffer, 0, count).split("\r")[0]);
                } else {
                    out.write(buffer, 0, count);
                }
            }
        } finally {
            if (!lost) {
                to.shutdownOutput();
            }
        }
    }
}

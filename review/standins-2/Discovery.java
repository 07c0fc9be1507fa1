import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The agent of discovery: the complete list, and watches with a heartbeat every 2 s. */
final class Discovery {
    private final Record record;
    private final Map<String, Map<String, Object>> entries = new LinkedHashMap<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();
    private long version = 41;
    final ServerSocket server;

    Discovery(Record record, InetAddress address) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 256, address);
        Threads.run("discovery", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Lists a worker, or changes its entry; all open watches are told at once. */
    synchronized void list(String id, String address, String zone, int cell, String state, long started) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("id", id);
        entry.put("addr", address);
        entry.put("zone", zone);
        entry.put("kind", "small");
        entry.put("cell", cell);
        entry.put("state", state);
        entry.put("weight", 1.0);
        entry.put("started_ms", started);
        version++;
        entries.put(id, entry);
        Map<String, Object> change = new LinkedHashMap<>();
        change.put("version", version);
        change.put("full", false);
        change.put("servers", List.of(entry));
        changes.add(change);
        record.add("discovery", "lists " + id + " " + state + " at " + address + " as version " + version);
        if (state.equals("gone")) {
            entries.remove(id);
        }
        notifyAll();
    }

    synchronized Map<String, Object> complete() {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("version", version);
        list.put("full", true);
        list.put("servers", new ArrayList<>(entries.values()));
        return list;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.run("discovery-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http call = Http.read(in); call != null; call = Http.read(in)) {
                if (call.target().contains("watch=1")) {
                    watch(out);
                    return;
                }
                out.write(Http.answer(200, "", Json.write(complete())));
            }
        }
    }

    private void watch(OutputStream out) throws IOException, InterruptedException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        int told;
        String first;
        synchronized (this) {
            told = changes.size();
            first = Json.write(complete());
        }
        chunk(out, first + "\n");
        while (true) {
            List<Map<String, Object>> news;
            synchronized (this) {
                if (changes.size() == told) {
                    wait(2000);
                }
                news = List.copyOf(changes.subList(told, changes.size()));
                told = changes.size();
            }
            if (news.isEmpty()) {
                chunk(out, "\n");
            }
            for (Map<String, Object> change : news) {
                chunk(out, Json.write(change) + "\n");
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(Http.bytes(Integer.toHexString(bytes.length) + "\r\n", Http.bytes(text, "\r\n".getBytes())));
        out.flush();
    }
}

package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/** Discovery's agent with a list that does not change. */
final class Discovery extends Peer {

    private final String list;

    Discovery(List<Worker> workers) {
        list =
                "{\"version\":1,\"full\":true,\"servers\":["
                        + workers.stream().map(Worker::entry).collect(Collectors.joining(","))
                        + "]}";
    }

    String list() {
        return list;
    }

    @Override
    void serve(Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        for (Http.Message call = Http.read(socket.getInputStream());
                call != null;
                call = Http.read(socket.getInputStream())) {
            if (!call.word(1).contains("watch=1")) {
                out.write(Http.message("HTTP/1.1 200 OK", utf8(list)));
                continue;
            }
            out.write(utf8("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (String next = list + "\n"; ; next = "\n") {
                out.write(utf8(Integer.toHexString(utf8(next).length) + "\r\n" + next + "\r\n"));
                sleep(2000);
            }
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

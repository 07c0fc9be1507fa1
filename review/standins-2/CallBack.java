import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingDeque;

/** Call-backs of the workers, on a few kept connections. */
final class CallBack {
    private static final Map<String, BlockingDeque<Socket>> ALL = new ConcurrentHashMap<>();

    /** How long a worker waits for an answer before it repeats the call. */
    static volatile int patienceMillis = 2000;

    private CallBack() {}

    /** Returns whether the call was answered 200 or 204. */
    static boolean send(String dispatcher, String event) {
        byte[] body = event.getBytes(StandardCharsets.UTF_8);
        BlockingDeque<Socket> kept = ALL.computeIfAbsent(dispatcher, unused -> new LinkedBlockingDeque<>());
        Socket socket = kept.pollLast();
        try {
            if (socket == null) {
                socket = Net.connect(dispatcher);
            }
            socket.setSoTimeout(patienceMillis);
            socket.getOutputStream()
                    .write(
                            Http.bytes(
                                    "POST /v1/job-events HTTP/1.1\r\nHost: d\r\nContent-Length: "
                                            + body.length
                                            + "\r\n\r\n",
                                    body));
            Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            boolean told = answer != null && (answer.status() == 200 || answer.status() == 204);
            if (told && !answer.closes() && kept.size() < 16) {
                kept.add(socket);
            } else {
                socket.close();
            }
            return told;
        } catch (IOException e) {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException ignored) {
                // It is gone either way.
            }
            return false;
        }
    }
}

package postgrade.rig.serve;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls to the operators' interface of a dispatcher. */
public final class OperatorCall {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /**
     * Answer to a call.
     *
     * @param text the body
     * @param retryAfter empty if there is no such header
     */
    public record Answer(int status, String text, String retryAfter) {

        /** The body as a JSON object; an empty object if it is none. */
        public JsonObject json() {
            try {
                return Json.parse(text).asObject();
            } catch (ParseException | UnsupportedOperationException e) {
                return new JsonObject();
            }
        }
    }

    private OperatorCall() {}

    public static Answer send(String method, InetSocketAddress address, String path, String body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                        .timeout(TIMEOUT)
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .build();
        HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        return new Answer(
                response.statusCode(),
                response.body(),
                response.headers().firstValue("Retry-After").orElse(""));
    }
}

package postgrade.operator;

import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import postgrade.dispatch.Timers;
import postgrade.http.BadMessageException;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;
import postgrade.json.InvalidJsonException;
import postgrade.json.JsonReader;
import postgrade.operator.Operations.Call;
import postgrade.operator.Operations.Refusal;

/** A connection from an operator, which serves a single call. */
final class OperatorConnection implements Connection.Owner, Operations.Reply {

    /**
     * Time-out for receiving the call, and for the caller to read the answer and close the
     * connection.
     */
    private static final long TIMEOUT_MICROS = 5_000_000;

    private static final Map<String, Call> CALLS =
            Map.of(
                    "/status",
                    Call.STATUS,
                    "/maintenance/enter",
                    Call.ENTER,
                    "/maintenance/exit",
                    Call.EXIT,
                    "/standby",
                    Call.STANDBY,
                    "/active",
                    Call.ACTIVE);

    private final OperatorListener listener;
    private final Connection connection;
    private final MessageParser parser;
    private final Timers.Timer expiryTimer;
    private boolean callReceived;

    OperatorConnection(OperatorListener listener, SocketChannel channel) throws IOException {
        this.listener = listener;
        parser = MessageParser.forRequests(listener.additionalEndpoints.maxBodyBytes());
        connection = Connection.accepted(listener, channel, this, true);
        connection.setIdle(true, true);
        expiryTimer =
                listener.timers.at(listener.timers.nowMicros() + TIMEOUT_MICROS, this::expire);
    }

    @Override
    public void received(Connection c, ByteBuffer bytes) throws BadMessageException {
        if (callReceived) {
            return; // One call per connection: further input is not parsed.
        }
        Message call = parser.parse(bytes);
        if (call != null) {
            callReceived = true;
            connection.setIdle(false, false);
            dispatch(call);
        } else if (parser.consumeExpectContinue()) {
            connection.write(MessageWriter.response(100).noBody());
        }
    }

    private void dispatch(Message message) {
        String path = message.target().split("\\?", 2)[0];
        Call call = CALLS.get(path);
        if (call == null) {
            dispatchAdditional(path, message);
            return;
        }
        if (message.body().length > MessageParser.MAX_BODY_BYTES) {
            answer(413, null, "body too large");
            return;
        }
        String method = call == Call.STATUS ? "GET" : "PUT";
        if (!message.method().equals(method)) {
            answer(405, method, path + " is called by " + method + ", not " + message.method());
            return;
        }
        String id = null;
        if (call == Call.ENTER || call == Call.EXIT) {
            try {
                id = parseWorkerId(message.body());
            } catch (IllegalArgumentException e) {
                answer(400, null, e.getMessage());
                return;
            }
        }
        listener.operations.call(call, id, this);
    }

    private void dispatchAdditional(String path, Message message) {
        Set<String> methods = listener.additionalEndpoints.allowedMethods(path);
        if (methods.isEmpty()) {
            answer(404, null, "there is no call " + path);
        } else if (!methods.contains(message.method())) {
            answer(
                    405,
                    String.join(", ", methods),
                    path
                            + " is called by "
                            + String.join(" or ", methods)
                            + ", not "
                            + message.method());
        } else if (message.body().length > listener.additionalEndpoints.maxBodyBytes(path)) {
            answer(413, null, "body too large");
        } else {
            listener.additionalEndpoints.handle(
                    message.method(),
                    path,
                    message.body(),
                    (status, retryAfterMicros, json) ->
                            answer(status, null, retryAfterMicros, json));
        }
    }

    private static String parseWorkerId(byte[] body) {
        JsonValue json;
        try {
            json = JsonReader.read(new String(body, StandardCharsets.UTF_8));
        } catch (InvalidJsonException e) {
            throw new IllegalArgumentException("the body is not JSON: " + e.getMessage(), e);
        }
        JsonValue id = json.isObject() ? json.asObject().get("id") : null;
        if (id == null || !id.isString() || id.asString().isEmpty()) {
            throw new IllegalArgumentException(
                    "the body has to be an object with the worker's id as a string: "
                            + "{\"id\":\"ID\"}");
        }
        return id.asString();
    }

    @Override
    public void succeeded(String text) {
        answer(200, null, text);
    }

    @Override
    public void refused(Refusal reason, String text) {
        answer(reason == Refusal.UNKNOWN ? 404 : 503, null, text);
    }

    private void answer(int status, String allow, String text) {
        answer(status, allow, 0, text);
    }

    private void answer(int status, String allow, long retryAfterMicros, String text) {
        callReceived = true;
        connection.setIdle(false, false);
        connection.write(
                MessageWriter.response(status)
                        .header("Allow", allow)
                        .header(
                                "Retry-After",
                                retryAfterMicros == 0
                                        ? null
                                        : (retryAfterMicros + 999_999) / 1_000_000)
                        .header(
                                "Content-Type",
                                text.startsWith("{")
                                        ? "application/json"
                                        : "text/plain; charset=utf-8")
                        .header("Connection", "close")
                        .body((text + "\n").getBytes(StandardCharsets.UTF_8)));
        connection.closeWhenSent();
        // It may be evicted for another caller, after connections that have not sent a call.
        connection.setIdle(true, false);
    }

    private void expire() {
        if (!callReceived) {
            answer(408, null, "no whole call has come");
            listener.timers.at(listener.timers.nowMicros() + TIMEOUT_MICROS, this::expire);
        } else {
            connection.close();
            listener.closed();
        }
    }

    @Override
    public void badMessage(Connection c, BadMessageException e) {
        if (!callReceived) {
            answer(e.status(), null, e.getMessage());
        }
    }

    @Override
    public long heldBytes() {
        return parser.heldBytes();
    }

    @Override
    public void closed(Connection c) {
        expiryTimer.cancel();
        listener.closed();
    }
}

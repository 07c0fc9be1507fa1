package postgrade.sharing.endpoints;

import com.eclipsesource.json.JsonObject;
import java.util.Map;
import java.util.concurrent.Executor;
import postgrade.calendar.CalendarLoader;
import postgrade.extension.Host;
import postgrade.operator.AdditionalEndpoints.Reply;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.Row;
import postgrade.window.CalendarPart;

/**
 * Accepts the maintenance calendar of a site. It is checked completely, on another thread, before
 * it is submitted to the other members.
 */
public final class CalendarEndpoint {

    /**
     * Fits a calendar of the greatest length, including the escapes that JSON adds for line breaks
     * and quotes.
     */
    private static final int MAX_BODY_BYTES = 384 << 10;

    private static final java.util.Set<String> FIELDS =
            java.util.Set.of("site", "zone", "text", "inMs", "expects");

    private final Host host;
    private final ReplicatedState state;
    private final Responses responses;
    private final Executor blockingExecutor;
    private boolean checking;

    private CalendarEndpoint(
            Host host, ReplicatedState state, Responses responses, Executor blockingExecutor) {
        this.host = host;
        this.state = state;
        this.responses = responses;
        this.blockingExecutor = blockingExecutor;
    }

    /**
     * Adds the endpoint.
     *
     * @param blockingExecutor runs the check of a calendar, which may take a second
     */
    public static void addTo(
            OperatorEndpoints endpoints,
            Host host,
            ReplicatedState state,
            Executor blockingExecutor) {
        CalendarEndpoint endpoint =
                new CalendarEndpoint(host, state, endpoints.responses(), blockingExecutor);
        endpoints.add("PUT", "/calendar", MAX_BODY_BYTES, endpoint::put);
    }

    private void put(byte[] body, Reply reply) {
        JsonObject object = RequestBody.parse(body);
        String requestId = RequestBody.requestId(object);
        Map<String, String> fields = RequestBody.fieldTexts(object);
        fields.keySet().stream()
                .filter(f -> !FIELDS.contains(f))
                .findFirst()
                .ifPresent(
                        f -> {
                            throw new RequestBody.InvalidRequestException(
                                    f + " is not a field of a calendar");
                        });
        String site = RequestBody.requiredText(object, "site");
        String text = RequestBody.requiredText(object, "text");
        if (text.isEmpty()) {
            submit(requestId, "drop", Row.of("site", site), reply);
            return;
        }
        String zone = RequestBody.requiredText(object, "zone");
        Row args = Row.of("site", site, "zone", zone, "text", text);
        if (fields.containsKey("inMs")) {
            long maxMillis = CalendarPart.MAX_ACTIVATION_DELAY_MICROS / 1000;
            args = args.with("inMicros", new Row(fields).integer("inMs", 0, maxMillis) * 1000);
        }
        if (fields.containsKey("expects")) {
            args = args.with("expects", fields.get("expects"));
        }
        if (checking) {
            responses.unavailable(reply, "another calendar is being checked", 1_000_000);
            return;
        }
        checking = true;
        Row commandArgs = args;
        blockingExecutor.execute(
                () -> {
                    String fault = fault(site, zone, text);
                    host.loopExecutor()
                            .execute(
                                    () -> {
                                        checking = false;
                                        if (fault == null) {
                                            submit(requestId, "put", commandArgs, reply);
                                        } else {
                                            responses.error(reply, 400, fault);
                                        }
                                    });
                });
    }

    private static String fault(String site, String zone, String text) {
        try {
            CalendarLoader.CheckResult result = CalendarLoader.check(site, zone, text);
            return result.ok()
                    ? null
                    : (result.line() == 0 ? "" : "text line " + result.line() + ": ")
                            + result.message();
        } catch (RuntimeException | StackOverflowError e) {
            return "text cannot be read: " + e;
        }
    }

    private void submit(String requestId, String verb, Row args, Reply reply) {
        ReplicatedState.Standing self = state.standing();
        responses.submit(
                new Command(
                        requestId, self.name(), self.incarnation(), CalendarPart.NAME, verb, args),
                reply);
    }
}

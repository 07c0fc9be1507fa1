package postgrade.client;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import postgrade.dispatch.ReportedState;
import postgrade.dispatch.RequestTracker;

/** A call-back by which a provider tells the fate of a job it has taken. */
record JobEvent(String id, String from, ReportedState state, double share, byte[] result) {

    static final String PATH = "/v1/job-events";

    /**
     * Reads one; an exception says what is wrong with it. A state we do not know is null, and
     * right.
     */
    static JobEvent of(byte[] body) {
        try {
            JsonObject event = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
            return new JobEvent(
                    event.get("id").asString(),
                    event.get("from").asString(),
                    state(event.get("state").asString()),
                    event.getDouble("share", 0),
                    bytes(event.get("result")));
        } catch (RuntimeException e) {
            // Guards against call-backs that are not JSON or lack a field: told to the sender,
            // never a crash.
            throw new IllegalArgumentException("not a job event: id, from and state are needed", e);
        }
    }

    /**
     * Passes it on. False if its job is not known here; it would be repeated for nothing if that
     * were an error.
     */
    boolean tell(RequestTracker gateway) {
        return state == null || gateway.workerReported(id, from, state, share, result);
    }

    private static ReportedState state(String name) {
        for (ReportedState s : ReportedState.values()) {
            if (s.name().toLowerCase(Locale.ROOT).equals(name)) {
                return s;
            }
        }
        return null;
    }

    private static byte[] bytes(JsonValue result) {
        String text =
                result == null || result.isNull()
                        ? ""
                        : result.isString() ? result.asString() : result.toString();
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

package postgrade.consumer;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import postgrade.gateway.Gateway;
import postgrade.gateway.JobState;

/** The call-backs by which providers tell the fate of jobs they have taken. */
final class JobEvents {

    static final String PATH = "/v1/job-events";

    private JobEvents() { }

    /**
     * Passes one call-back on. Returns null, or what is wrong with it. One of an unknown job, or of a state we do
     * not know, is right: it would be repeated for nothing.
     */
    static String take(byte[] body, Gateway gateway) {
        String id;
        String from;
        String state;
        double share;
        JsonValue result;
        try {
            JsonObject event = Json.parse(new String(body, StandardCharsets.UTF_8)).asObject();
            id = event.get("id").asString();
            from = event.get("from").asString();
            state = event.get("state").asString();
            share = event.getDouble("share", 0);
            result = event.get("result");
        } catch (RuntimeException e) {
            // Guards against call-backs that are not JSON or lack a field: told to the sender, never a crash.
            return "not a job event: id, from and state are needed";
        }
        JobState known = state(state);
        if (known != null) {
            gateway.report(id, from, known, share, bytes(result));
        }
        return null;
    }

    private static JobState state(String name) {
        for (JobState s : JobState.values()) {
            if (s.name().toLowerCase(Locale.ROOT).equals(name)) {
                return s;
            }
        }
        return null;
    }

    private static byte[] bytes(JsonValue result) {
        String text = result == null || result.isNull() ? "" : result.isString() ? result.asString()
                : result.toString();
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

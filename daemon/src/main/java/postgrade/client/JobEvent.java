package postgrade.client;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import postgrade.dispatch.ReportedState;
import postgrade.dispatch.RequestTracker;
import postgrade.json.JsonReader;

/** A call-back by which a worker reports the state of a job it has accepted. */
record JobEvent(String id, String from, ReportedState state, double share, byte[] result) {

    static final String PATH = "/v1/job-events";

    /** The member that is the worker's own and may hold any JSON. */
    private static final String RESULT = "result";

    /**
     * Parses a call-back; the exception says what is wrong with it. An unknown state is valid and
     * becomes null.
     */
    static JobEvent parse(byte[] body) {
        try {
            String text = new String(body, StandardCharsets.UTF_8);
            JsonObject event = JsonReader.read(text, RESULT).asObject();
            return new JobEvent(
                    event.get("id").asString(),
                    event.get("from").asString(),
                    parseState(event.get("state").asString()),
                    event.getDouble("share", 0),
                    resultBytes(event.get(RESULT)));
        } catch (RuntimeException e) {
            // A call-back that is not JSON or lacks a field is answered with an error to the
            // sender.
            throw new IllegalArgumentException("not a job event: id, from and state are needed", e);
        }
    }

    /**
     * Delivers the report. Returns false if its job is not known here, which is no error: an error
     * would make the worker repeat the call-back in vain.
     */
    boolean deliver(RequestTracker tracker) {
        return state == null || tracker.workerReported(id, from, state, share, result);
    }

    private static ReportedState parseState(String name) {
        for (ReportedState s : ReportedState.values()) {
            if (s.name().toLowerCase(Locale.ROOT).equals(name)) {
                return s;
            }
        }
        return null;
    }

    private static byte[] resultBytes(JsonValue result) {
        String text =
                result == null || result.isNull()
                        ? ""
                        : result.isString() ? result.asString() : result.toString();
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

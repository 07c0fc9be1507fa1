package postgrade.sharing.endpoints;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import postgrade.operator.AdditionalEndpoints.Reply;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;

/** Answers operators' calls. Each answer contains the era and the age of this process's view. */
final class Responses {

    private static final long SUBMIT_TIMEOUT_MICROS = 1_000_000;
    private static final long DEFAULT_RETRY_AFTER_MICROS = 1_000_000;

    /**
     * Limits the calls that wait for the quorum, so that they never use up all connections of the
     * operator listener: the routine calls need some too.
     */
    private static final int MAX_PENDING = 6;

    private final ReplicatedState state;
    private final java.util.function.LongSupplier nowMicros;
    private int pending;

    Responses(ReplicatedState state, java.util.function.LongSupplier nowMicros) {
        this.state = state;
        this.nowMicros = nowMicros;
    }

    void ok(Reply reply, JsonObject json) {
        reply.answer(200, 0, withViewState(json));
    }

    void error(Reply reply, int status, String message) {
        reply.answer(status, 0, withViewState(Json.object().add("error", message)));
    }

    /** Answers that the call cannot be decided now, and states when to retry it. */
    void unavailable(Reply reply, String message, long retryAfterMicros) {
        reply.answer(
                503,
                retryAfterMicros > 0 ? retryAfterMicros : DEFAULT_RETRY_AFTER_MICROS,
                withViewState(Json.object().add("error", message)));
    }

    private String withViewState(JsonObject json) {
        View view = state.view();
        return json.add("era", view.moment().era())
                .add("viewAgeMs", viewAgeMillis(view))
                .toString();
    }

    JsonValue viewAgeMillis(View view) {
        return view.known()
                ? Json.value(Math.max(0, view.ageMicros(nowMicros.getAsLong())) / 1000)
                : Json.NULL;
    }

    /** Submits a command and answers with its outcome. */
    void submit(Command command, Reply reply) {
        if (pending >= MAX_PENDING) {
            unavailable(reply, "too many calls wait for a decision", DEFAULT_RETRY_AFTER_MICROS);
            return;
        }
        pending++;
        state.submit(
                command,
                SUBMIT_TIMEOUT_MICROS,
                outcome -> {
                    pending--;
                    if (!outcome.decided()) {
                        unavailable(
                                reply,
                                "no quorum has decided this in time; the same requestId may be sent again",
                                outcome.retryAfterMicros());
                        return;
                    }
                    switch (outcome.answer().status()) {
                        case DONE -> {
                            JsonObject json = Json.object().add("text", outcome.answer().text());
                            outcome.answer()
                                    .fields()
                                    .values()
                                    .forEach((name, value) -> json.add(name, jsonValue(value)));
                            if (outcome.moment() != null) {
                                json.add("index", outcome.moment().index());
                            }
                            ok(reply, json);
                        }
                        case FAULTY -> error(reply, 400, outcome.answer().text());
                        case UNKNOWN -> error(reply, 404, outcome.answer().text());
                        default -> error(reply, 409, outcome.answer().text());
                    }
                });
    }

    /**
     * Returns a JSON number if the text is an integer of at most 15 digits, which every JSON reader
     * represents exactly; else a JSON string.
     */
    static JsonValue jsonValue(String text) {
        return text.matches("-?(0|[1-9][0-9]{0,14})")
                ? Json.value(Long.parseLong(text))
                : Json.value(text);
    }
}

package postgrade.sharing.calls;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import postgrade.operator.AdditionalEndpoints.Reply;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;

/** Answers operators' calls; each answer tells the era and how old the view is. */
final class Answers {

    private static final long WITHIN_MICROS = 1_000_000;
    private static final long AGAIN_MICROS = 1_000_000;

    /**
     * Guards the daily calls: those that wait for the quorum never take all places of the listener.
     */
    private static final int MOST_WAITING = 6;

    private final ReplicatedState sharing;
    private final java.util.function.LongSupplier nowMicros;
    private int waiting;

    Answers(ReplicatedState sharing, java.util.function.LongSupplier nowMicros) {
        this.sharing = sharing;
        this.nowMicros = nowMicros;
    }

    void done(Reply reply, JsonObject json) {
        reply.answer(200, 0, about(json));
    }

    void bad(Reply reply, int status, String sentence) {
        reply.answer(status, 0, about(Json.object().add("error", sentence)));
    }

    /** It cannot be decided now. */
    void notNow(Reply reply, String sentence, long againMicros) {
        reply.answer(
                503,
                againMicros > 0 ? againMicros : AGAIN_MICROS,
                about(Json.object().add("error", sentence)));
    }

    private String about(JsonObject json) {
        View view = sharing.view();
        return json.add("era", view.moment().era()).add("viewAgeMs", viewAge(view)).toString();
    }

    JsonValue viewAge(View view) {
        return view.known()
                ? Json.value(Math.max(0, view.ageMicros(nowMicros.getAsLong())) / 1000)
                : Json.NULL;
    }

    /** Has a command decided and tells what came of it. */
    void decide(Command command, Reply reply) {
        if (waiting >= MOST_WAITING) {
            notNow(reply, "too many calls wait for a decision", AGAIN_MICROS);
            return;
        }
        waiting++;
        sharing.submit(
                command,
                WITHIN_MICROS,
                decided -> {
                    waiting--;
                    if (!decided.decided()) {
                        notNow(
                                reply,
                                "no quorum has decided this in time; the same requestId may be sent again",
                                decided.retryAfterMicros());
                        return;
                    }
                    switch (decided.answer().status()) {
                        case DONE -> {
                            JsonObject json = Json.object().add("text", decided.answer().text());
                            decided.answer()
                                    .fields()
                                    .values()
                                    .forEach((name, value) -> json.add(name, value(value)));
                            if (decided.moment() != null) {
                                json.add("index", decided.moment().index());
                            }
                            done(reply, json);
                        }
                        case FAULTY -> bad(reply, 400, decided.answer().text());
                        case UNKNOWN -> bad(reply, 404, decided.answer().text());
                        default -> bad(reply, 409, decided.answer().text());
                    }
                });
    }

    /** Whole numbers go as such, as long as every reader keeps them exactly. */
    static JsonValue value(String text) {
        return text.matches("-?(0|[1-9][0-9]{0,14})")
                ? Json.value(Long.parseLong(text))
                : Json.value(text);
    }
}

package postgrade.sharing.calls;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import postgrade.lease.ReservationCommands;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;

/** Reservations of accelerators. */
public final class ReservationCalls {

    private final ReplicatedState sharing;
    private final Answers answers;

    private ReservationCalls(ReplicatedState sharing, Answers answers) {
        this.sharing = sharing;
        this.answers = answers;
    }

    public static void addTo(Calls calls, ReplicatedState sharing) {
        ReservationCalls r = new ReservationCalls(sharing, calls.answers());
        for (String verb : new String[] {"acquire", "renew", "release"}) {
            calls.add(
                    "PUT",
                    "/reservations/" + verb,
                    (body, reply) -> {
                        JsonObject object = Body.object(body);
                        ReplicatedState.Standing us = sharing.standing();
                        calls.answers()
                                .decide(
                                        ReservationCommands.command(
                                                verb,
                                                Body.requestId(object),
                                                us.name(),
                                                us.incarnation(),
                                                Body.fields(object)),
                                        reply);
                    });
        }
        calls.add("GET", "/reservations", (body, reply) -> r.list(reply));
    }

    private void list(Calls.Reply reply) {
        View view = sharing.view();
        if (!view.known()) {
            answers.notNow(reply, "no view of the shared state has come yet", 0);
            return;
        }
        JsonArray all = Json.array();
        ReservationCommands.list(view.rows(), view.moment().micros())
                .forEach(
                        fields -> {
                            JsonObject one = Json.object();
                            fields.forEach((name, value) -> one.add(name, Answers.value(value)));
                            all.add(one);
                        });
        answers.done(reply, Json.object().add("reservations", all));
    }
}

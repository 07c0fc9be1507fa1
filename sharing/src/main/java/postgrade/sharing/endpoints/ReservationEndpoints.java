package postgrade.sharing.endpoints;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import postgrade.lease.ReservationCommands;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;

/** Endpoints to list, acquire, renew and release reservations of accelerators. */
public final class ReservationEndpoints {

    private final ReplicatedState state;
    private final Responses responses;

    private ReservationEndpoints(ReplicatedState state, Responses responses) {
        this.state = state;
        this.responses = responses;
    }

    public static void addTo(OperatorEndpoints endpoints, ReplicatedState state) {
        ReservationEndpoints reservations = new ReservationEndpoints(state, endpoints.responses());
        for (String verb : new String[] {"acquire", "renew", "release"}) {
            endpoints.add(
                    "PUT",
                    "/reservations/" + verb,
                    (body, reply) -> {
                        JsonObject object = RequestBody.parse(body);
                        ReplicatedState.Standing self = state.standing();
                        endpoints
                                .responses()
                                .submit(
                                        ReservationCommands.command(
                                                verb,
                                                RequestBody.requestId(object),
                                                self.name(),
                                                self.incarnation(),
                                                RequestBody.fieldTexts(object)),
                                        reply);
                    });
        }
        endpoints.add("GET", "/reservations", (body, reply) -> reservations.list(reply));
    }

    private void list(OperatorEndpoints.Reply reply) {
        View view = state.view();
        if (!view.known()) {
            responses.unavailable(reply, "no view of the shared state has come yet", 0);
            return;
        }
        JsonArray reservations = Json.array();
        ReservationCommands.list(view.rows(), view.moment().micros())
                .forEach(
                        fields -> {
                            JsonObject reservation = Json.object();
                            fields.forEach(
                                    (name, value) ->
                                            reservation.add(name, Responses.jsonValue(value)));
                            reservations.add(reservation);
                        });
        responses.ok(reply, Json.object().add("reservations", reservations));
    }
}

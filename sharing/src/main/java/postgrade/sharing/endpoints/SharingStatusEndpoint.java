package postgrade.sharing.endpoints;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.Locale;
import postgrade.member.Member;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;
import postgrade.sharing.progress.RecoveryProgress;
import postgrade.sharing.session.MembershipSession;

/** Reports the membership and the view of this process. */
public final class SharingStatusEndpoint {

    private SharingStatusEndpoint() {}

    /**
     * Adds the endpoint.
     *
     * @param snapshotFault returns why what was learnt cannot be saved, or null
     */
    public static void addTo(
            OperatorEndpoints endpoints,
            ReplicatedState state,
            MembershipSession session,
            RecoveryProgress progress,
            java.util.function.Supplier<String> snapshotFault) {
        endpoints.add(
                "GET",
                "/sharing",
                (body, reply) -> {
                    View view = state.view();
                    ReplicatedState.Standing self = state.standing();
                    JsonArray members = Json.array();
                    Member.all(view.rows())
                            .forEach(
                                    m ->
                                            members.add(
                                                    Json.object()
                                                            .add("name", m.name())
                                                            .add("incarnation", m.incarnation())
                                                            .add(
                                                                    "alive",
                                                                    m.alive(view.moment().micros()))
                                                            .add("share", m.share() / 1e6)));
                    JsonObject json =
                            Json.object()
                                    .add("name", self.name())
                                    .add("incarnation", self.incarnation())
                                    .add("role", self.role().name().toLowerCase(Locale.ROOT))
                                    .add("leader", text(self.leader()))
                                    .add("voters", self.voters())
                                    .add("index", view.moment().index())
                                    .add("logMs", view.moment().micros() / 1000)
                                    .add("alive", Member.alive(view.rows(), view.moment().micros()))
                                    .add("members", members)
                                    .add("share", session.rateFactor())
                                    .add("joined", session.isJoined())
                                    .add("phase", progress.phase().text())
                                    .add("phases", progress.phases())
                                    .add(
                                            "fault",
                                            text(
                                                    self.fault() == null
                                                            ? session.rejectionReason()
                                                            : self.fault()))
                                    .add("memoryFault", text(snapshotFault.get()));
                    endpoints.responses().ok(reply, json);
                });
    }

    private static JsonValue text(String value) {
        return value == null ? Json.NULL : Json.value(value);
    }
}

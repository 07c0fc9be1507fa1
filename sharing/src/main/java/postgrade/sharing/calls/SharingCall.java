package postgrade.sharing.calls;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.Locale;
import postgrade.member.Member;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;
import postgrade.sharing.progress.Progress;
import postgrade.sharing.session.Session;

/** How this process stands to the others. */
public final class SharingCall {

    private SharingCall() {}

    /**
     * @param memory tells why what was learnt cannot be kept, or null
     */
    public static void addTo(
            Calls calls,
            ReplicatedState sharing,
            Session session,
            Progress progress,
            java.util.function.Supplier<String> memory) {
        calls.add(
                "GET",
                "/sharing",
                (body, reply) -> {
                    View view = sharing.view();
                    ReplicatedState.Standing us = sharing.standing();
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
                                    .add("name", us.name())
                                    .add("incarnation", us.incarnation())
                                    .add("role", us.role().name().toLowerCase(Locale.ROOT))
                                    .add("leader", text(us.leader()))
                                    .add("voters", us.voters())
                                    .add("index", view.moment().index())
                                    .add("logMs", view.moment().micros() / 1000)
                                    .add("alive", Member.alive(view.rows(), view.moment().micros()))
                                    .add("members", members)
                                    .add("share", session.factor())
                                    .add("joined", session.joined())
                                    .add("phase", progress.phase().text())
                                    .add("phases", progress.phases())
                                    .add(
                                            "fault",
                                            text(
                                                    us.fault() == null
                                                            ? session.refused()
                                                            : us.fault()))
                                    .add("memoryFault", text(memory.get()));
                    calls.answers().done(reply, json);
                });
    }

    private static JsonValue text(String value) {
        return value == null ? Json.NULL : Json.value(value);
    }
}

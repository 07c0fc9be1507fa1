package postgrade.sharing.session;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.json.JsonReader;
import postgrade.log.Events;

/**
 * What a process of a dispatcher hands over to the next one about its part in the shared state.
 *
 * @param name the name under which it is a member
 * @param incarnation the incarnation under which it is a member, 0 if it is not a member
 * @param outOfService the workers that it holds to be in maintenance
 * @param pendingChanges maintenance changes by operators that the quorum has not decided yet
 */
public record HandOverState(
        String name,
        long incarnation,
        Set<String> outOfService,
        List<PendingChange> pendingChanges) {

    private static final Logger LOG = LoggerFactory.getLogger(HandOverState.class);

    /**
     * A maintenance change that has not been decided yet.
     *
     * @param requestId the id of the command; the next process sends the same one, so that the
     *     change takes effect only once
     */
    public record PendingChange(String worker, boolean outOfService, String requestId) {}

    /**
     * Parses the state that a running process handed over. Returns null if there is none, or if it
     * cannot be parsed.
     */
    public static HandOverState parse(String text) {
        if (text == null || text.isEmpty()) {
            return null;
        }
        try {
            JsonObject json = JsonReader.read(text).asObject();
            Set<String> outOfService = new TreeSet<>();
            json.get("out").asArray().forEach(worker -> outOfService.add(worker.asString()));
            List<PendingChange> pendingChanges = new ArrayList<>();
            for (JsonValue element : json.get("words").asArray()) {
                JsonArray change = element.asArray();
                pendingChanges.add(
                        new PendingChange(
                                change.get(0).asString(),
                                change.get(1).asBoolean(),
                                change.get(2).asString()));
            }
            return new HandOverState(
                    json.get("name").asString(),
                    Long.parseLong(json.get("incarnation").asString()),
                    outOfService,
                    pendingChanges);
        } catch (RuntimeException e) {
            Events.warn(LOG, "sharing.former-not-understood")
                    .addKeyValue("why", e.toString())
                    .log(
                            "cannot parse the sharing state that the running process handed over ("
                                    + e
                                    + ")");
            return null;
        }
    }

    public String toJson() {
        JsonArray outOfServiceArray = Json.array();
        outOfService.forEach(outOfServiceArray::add);
        JsonArray changesArray = Json.array();
        pendingChanges.forEach(
                change ->
                        changesArray.add(
                                Json.array()
                                        .add(change.worker)
                                        .add(change.outOfService)
                                        .add(change.requestId)));
        // The incarnation is written as text: a reader that parses numbers as doubles would lose
        // its last digits.
        return Json.object()
                .add("name", name)
                .add("incarnation", Long.toString(incarnation))
                .add("out", outOfServiceArray)
                .add("words", changesArray)
                .toString();
    }
}

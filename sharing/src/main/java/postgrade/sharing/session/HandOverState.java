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
import postgrade.log.Events;

/**
 * What a process of a dispatcher tells the next one of its part in the shared state.
 *
 * @param name by which it is a member @param incarnation under which it is one, 0 where it is none
 * @param out workers that it holds to be out @param words of operators that are not decided yet
 */
public record HandOverState(
        String name,
        long incarnation,
        Set<String> outOfService,
        List<PendingChange> pendingChanges) {

    private static final Logger LOG = LoggerFactory.getLogger(HandOverState.class);

    /**
     * @param requestId by which it is asked for, also by the next process, so that it has its
     *     effect once
     */
    public record PendingChange(String worker, boolean out, String requestId) {}

    /** Null where nothing was told, or what was told is not understood. */
    public static HandOverState parse(String text) {
        if (text == null || text.isEmpty()) {
            return null;
        }
        try {
            JsonObject json = Json.parse(text).asObject();
            Set<String> outOfService = new TreeSet<>();
            json.get("out").asArray().forEach(w -> outOfService.add(w.asString()));
            List<PendingChange> pendingChanges = new ArrayList<>();
            for (JsonValue w : json.get("words").asArray()) {
                JsonArray change = w.asArray();
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
                    .log("what the running process told of sharing was not understood (" + e + ")");
            return null;
        }
    }

    public String toJson() {
        JsonArray outOfServiceArray = Json.array();
        outOfService.forEach(outOfServiceArray::add);
        JsonArray changesArray = Json.array();
        pendingChanges.forEach(
                w -> changesArray.add(Json.array().add(w.worker).add(w.out).add(w.requestId)));
        // As text: a reader that takes numbers for doubles would lose the last digits.
        return Json.object()
                .add("name", name)
                .add("incarnation", Long.toString(incarnation))
                .add("out", outOfServiceArray)
                .add("words", changesArray)
                .toString();
    }
}

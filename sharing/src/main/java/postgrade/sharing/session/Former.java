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
public record Former(String name, long incarnation, Set<String> out, List<Word> words) {

    private static final Logger LOG = LoggerFactory.getLogger(Former.class);

    /**
     * @param requestId by which it is asked for, also by the next process, so that it has its
     *     effect once
     */
    public record Word(String worker, boolean out, String requestId) {}

    /** Null where nothing was told, or what was told is not understood. */
    public static Former of(String told) {
        if (told == null || told.isEmpty()) {
            return null;
        }
        try {
            JsonObject json = Json.parse(told).asObject();
            Set<String> out = new TreeSet<>();
            json.get("out").asArray().forEach(w -> out.add(w.asString()));
            List<Word> words = new ArrayList<>();
            for (JsonValue w : json.get("words").asArray()) {
                JsonArray a = w.asArray();
                words.add(new Word(a.get(0).asString(), a.get(1).asBoolean(), a.get(2).asString()));
            }
            return new Former(
                    json.get("name").asString(),
                    Long.parseLong(json.get("incarnation").asString()),
                    out,
                    words);
        } catch (RuntimeException e) {
            Events.warn(LOG, "sharing.former-not-understood")
                    .addKeyValue("why", e.toString())
                    .log("what the running process told of sharing was not understood (" + e + ")");
            return null;
        }
    }

    public String text() {
        JsonArray outs = Json.array();
        out.forEach(outs::add);
        JsonArray all = Json.array();
        words.forEach(w -> all.add(Json.array().add(w.worker).add(w.out).add(w.requestId)));
        // As text: a reader that takes numbers for doubles would lose the last digits.
        return Json.object()
                .add("name", name)
                .add("incarnation", Long.toString(incarnation))
                .add("out", outs)
                .add("words", all)
                .toString();
    }
}

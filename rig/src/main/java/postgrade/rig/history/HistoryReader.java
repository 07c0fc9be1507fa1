package postgrade.rig.history;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads history files. A last line that is cut off because the rig died is skipped; any other
 * unreadable line is an error.
 */
public final class HistoryReader {

    private HistoryReader() {}

    public static List<History.Event> read(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        List<History.Event> events = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            try {
                JsonObject object = Json.parse(lines.get(i)).asObject();
                events.add(
                        new History.Event(
                                object.get("us").asLong(),
                                object.get("who").asString(),
                                object.get("kind").asString(),
                                object.get("with").asObject()));
            } catch (ParseException | NullPointerException | UnsupportedOperationException e) {
                if (i + 1 < lines.size()) {
                    throw new IOException(
                            file.getFileName() + ":" + (i + 1) + " is not a history event", e);
                }
            }
        }
        return events;
    }
}

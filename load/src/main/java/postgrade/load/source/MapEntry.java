package postgrade.load.source;

import java.util.HashMap;
import java.util.Map;

/** An entry of a structured source, held as names and texts. */
final class MapEntry extends Entry {

    final Map<String, String> fields = new HashMap<>();
    int status;
    long durationMicros;
    long received;
    long sent;

    void clear() {
        fields.clear();
        status = 0;
        durationMicros = -1;
        received = -1;
        sent = -1;
        ambiguous = false;
    }

    @Override
    public String field(String name) {
        return fields.get(name);
    }

    @Override
    public int status() {
        return status;
    }

    @Override
    public long durationMicros() {
        return durationMicros;
    }

    @Override
    public long bytesReceived() {
        return received;
    }

    @Override
    public long bytesSent() {
        return sent;
    }
}

package postgrade.upgrade;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

/**
 * The fingerprints of jobs that this process has begun and that must not run twice, queued for a
 * peer, and their messages. A peer of an earlier version ignores these messages.
 */
final class BegunAnnouncements {

    static final String KEY = "begun";

    /** Keeps a message far below the longest line. */
    private static final int MAX_PER_MESSAGE = 8_192;

    /** Bounds what is queued for a peer that does not read; the oldest are dropped. */
    private static final int MAX_QUEUED = 32_768;

    private final ArrayDeque<Long> queued = new ArrayDeque<>();

    void add(long fingerprint) {
        if (queued.size() == MAX_QUEUED) {
            queued.poll();
        }
        queued.add(fingerprint);
    }

    /** Takes all that are queued, in messages. */
    List<JsonObject> drain() {
        long[] fingerprints = queued.stream().mapToLong(Long::longValue).toArray();
        queued.clear();
        return messages(fingerprints);
    }

    int heldBytes() {
        return queued.size() * Long.BYTES * 4; // With the objects around them.
    }

    /** Returns the messages for these fingerprints. */
    static List<JsonObject> messages(long[] fingerprints) {
        List<JsonObject> messages = new ArrayList<>();
        for (int from = 0; from < fingerprints.length; from += MAX_PER_MESSAGE) {
            int to = Math.min(from + MAX_PER_MESSAGE, fingerprints.length);
            messages.add(message(Arrays.copyOfRange(fingerprints, from, to)));
        }
        return messages;
    }

    private static JsonObject message(long[] fingerprints) {
        ByteBuffer bytes = ByteBuffer.allocate(fingerprints.length * Long.BYTES);
        bytes.asLongBuffer().put(fingerprints);
        return Json.object().add(KEY, Base64.getEncoder().encodeToString(bytes.array()));
    }

    /**
     * Returns the fingerprints of a message.
     *
     * @throws RuntimeException if the message is malformed
     */
    static long[] fingerprints(JsonObject message) {
        byte[] bytes = Base64.getDecoder().decode(message.get(KEY).asString());
        long[] fingerprints = new long[bytes.length / Long.BYTES];
        ByteBuffer.wrap(bytes).asLongBuffer().get(fingerprints);
        return fingerprints;
    }
}

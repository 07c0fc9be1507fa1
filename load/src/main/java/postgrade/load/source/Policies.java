package postgrade.load.source;

import java.time.ZoneId;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What to do about each anomaly. Every one has a default; a plan may say otherwise. */
public final class Policies {

    /** The choices for each anomaly that can be treated in more than one way, the default first. */
    public static final Map<Cause, List<String>> CHOICES =
            new EnumMap<>(
                    Map.ofEntries(
                            Map.entry(Cause.INTERLEAVED, List.of("split", "reject")),
                            Map.entry(Cause.NUL_BYTES, List.of("strip", "reject")),
                            Map.entry(Cause.BAD_UTF8, List.of("replace", "reject")),
                            Map.entry(Cause.CLOCK_BACKWARDS, List.of("shift", "keep", "reject")),
                            Map.entry(Cause.CLOCK_FORWARDS, List.of("keep", "close", "reject")),
                            Map.entry(Cause.DST_FOLD, List.of("later", "keep")),
                            Map.entry(Cause.SECOND_RESOLUTION, List.of("spread", "keep")),
                            Map.entry(Cause.WEBSOCKET, List.of("drop", "keep")),
                            Map.entry(Cause.CACHED, List.of("drop", "keep")),
                            Map.entry(Cause.NEGATIVE_TIMING, List.of("unknown", "reject")),
                            Map.entry(Cause.MISSING_TIMING, List.of("unknown", "reject")),
                            Map.entry(Cause.RETRY_WITHOUT_FIRST, List.of("first", "drop"))));

    private final Map<Cause, String> chosen = new EnumMap<>(Cause.class);

    /** Steps back of the clock up to this are lines written late, not a clock set back. */
    public long backwardsToleranceMicros = 60_000_000;

    /** Steps forward from this on count as a jump. */
    public long forwardsGapMicros = 3_600_000_000L;

    /** Of times written without a zone. */
    public ZoneId zone = ZoneId.of("UTC");

    public Retries retries = Retries.AUTO;

    /** A retry comes no later than this after the end of the try before it. */
    public long retryWindowMicros = 30_000_000;

    /** Which entries are taken for retries. */
    public enum Retries {
        /** Those marked; where none is, those alike to one that failed. */
        AUTO,
        MARKED,
        NONE
    }

    public String of(Cause cause) {
        return chosen.getOrDefault(
                cause, CHOICES.containsKey(cause) ? CHOICES.get(cause).get(0) : "reject");
    }

    /**
     * @throws IllegalArgumentException if there is no such choice
     */
    public void choose(Cause cause, String action) {
        List<String> choices = CHOICES.get(cause);
        if (choices == null) {
            throw new IllegalArgumentException(cause.key() + " cannot be chosen for");
        }
        if (!choices.contains(action)) {
            throw new IllegalArgumentException(
                    cause.key()
                            + " must be one of "
                            + String.join(", ", choices)
                            + ", not "
                            + action);
        }
        chosen.put(cause, action);
    }
}

package postgrade.calendar.oracle;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A zone as the list of all its transitions up to 2110; a local time is looked up in the intervals
 * between them.
 */
final class ReferenceZone {

    private static final Map<String, ReferenceZone> CACHE = new ConcurrentHashMap<>();
    private static final Instant END = Instant.parse("2110-01-01T00:00:00Z");

    /** Seconds since 1970 at which each offset begins; the first one has no beginning. */
    final List<Long> transitions = new ArrayList<>();

    private final List<Integer> offsets = new ArrayList<>();

    ReferenceZone(int first) {
        transitions.add(Long.MIN_VALUE);
        offsets.add(first);
    }

    void addTransition(long second, int offset) {
        transitions.add(second);
        offsets.add(offset);
    }

    static ReferenceZone of(String id) {
        return CACHE.computeIfAbsent(
                id,
                i -> {
                    ZoneRules rules = ZoneId.of(i).getRules();
                    ReferenceZone zone =
                            new ReferenceZone(rules.getOffset(Instant.MIN).getTotalSeconds());
                    for (ZoneOffsetTransition t = rules.nextTransition(Instant.MIN);
                            t != null && t.getInstant().isBefore(END);
                            t = rules.nextTransition(t.getInstant())) {
                        zone.addTransition(t.toEpochSecond(), t.getOffsetAfter().getTotalSeconds());
                    }
                    return zone;
                });
    }

    /** Returns milliseconds since 1970. */
    long instant(LocalDateTime local, Mutation mutation) {
        long localSecond = local.toEpochSecond(ZoneOffset.UTC);
        // Three days to each side: no clock change is larger.
        int from = index(localSecond - 259_200);
        int to = index(localSecond + 259_200);
        long found = Long.MIN_VALUE;
        for (int i = from; i <= to; i++) {
            long instant = localSecond - offsets.get(i);
            long end = i + 1 < transitions.size() ? transitions.get(i + 1) : Long.MAX_VALUE;
            if (instant >= transitions.get(i)
                    && instant < end
                    && (found == Long.MIN_VALUE || mutation == Mutation.SECOND_OF_FOLD)) {
                found = instant;
            }
        }
        for (int i = from + 1; found == Long.MIN_VALUE && i <= to; i++) {
            // In the gap at this transition: read by the offset before, the instant is not before
            // the transition; read by the offset after, it is.
            if (localSecond - offsets.get(i - 1) >= transitions.get(i)
                    && localSecond - offsets.get(i) < transitions.get(i)) {
                found =
                        localSecond
                                - offsets.get(mutation == Mutation.OFFSET_AFTER_GAP ? i : i - 1);
            }
        }
        return found * 1000 + local.getNano() / 1_000_000;
    }

    LocalDateTime local(long millis) {
        long seconds = Math.floorDiv(millis, 1000L);
        return LocalDateTime.ofEpochSecond(
                seconds + offsets.get(index(seconds)), 0, ZoneOffset.UTC);
    }

    private int index(long seconds) {
        int found = java.util.Collections.binarySearch(transitions, seconds);
        return found >= 0 ? found : -found - 2;
    }
}

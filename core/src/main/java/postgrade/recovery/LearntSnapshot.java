package postgrade.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import postgrade.policy.api.PolicyStateEntry;

/**
 * What a process had learnt when its snapshot was written.
 *
 * @param dispatcher whose snapshot it is
 * @param savedMicros Unix time of writing
 * @param served worth in time as a part of the worth asked for, then; NaN where not known
 */
public record LearntSnapshot(
        String dispatcher, long savedMicros, double servedShare, List<Entry> entries) {

    /**
     * @param startedMillis of the worker of which it was learnt, by discovery; 0 for anything but a
     *     worker
     */
    public record Entry(PolicyStateEntry learnt, long startedMillis) {
        public Entry {
            Objects.requireNonNull(learnt, "learnt");
        }
    }

    public LearntSnapshot {
        entries = List.copyOf(entries);
    }

    /**
     * @param startedMillis of each worker now, by its id
     */
    public static LearntSnapshot capture(
            String dispatcher,
            long nowMicros,
            double served,
            List<PolicyStateEntry> learnt,
            Map<String, Long> startedMillis) {
        List<Entry> figures = new ArrayList<>();
        for (PolicyStateEntry entry : learnt) {
            if (!LearntStateAging.isWorkerState(entry)) {
                figures.add(new Entry(entry, 0));
            } else if (startedMillis.containsKey(entry.name())) {
                figures.add(new Entry(entry, startedMillis.get(entry.name())));
            }
        }
        return new LearntSnapshot(dispatcher, nowMicros, served, figures);
    }

    /** How old it is; a clock that was set back a little makes it new, not of the future. */
    public long ageMicros(long nowMicros) {
        return Math.max(0, nowMicros - savedMicros);
    }

    /**
     * What may still be trusted of it.
     *
     * @param startedMillis of each worker now, by its id, as discovery tells
     */
    public List<PolicyStateEntry> trustedEntries(long nowMicros, Map<String, Long> startedMillis) {
        List<PolicyStateEntry> trusted = new ArrayList<>();
        for (Entry entry : entries) {
            Long startedNow = startedMillis.get(entry.learnt().name());
            // A worker that is not listed, or has started since, is not the one of which this was
            // learnt.
            if (!LearntStateAging.isWorkerState(entry.learnt())
                    || startedNow != null && startedNow <= entry.startedMillis()) {
                PolicyStateEntry aged = LearntStateAging.aged(entry.learnt(), ageMicros(nowMicros));
                if (aged != null) {
                    trusted.add(aged);
                }
            }
        }
        return trusted;
    }
}

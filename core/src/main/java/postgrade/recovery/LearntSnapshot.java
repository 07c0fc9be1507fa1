package postgrade.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import postgrade.policy.api.PolicyStateEntry;

/**
 * What a process had learnt when the snapshot was written.
 *
 * @param dispatcher the process that wrote it
 * @param savedMicros Unix time of writing
 * @param servedShare worth served in time as a share of the requested worth at that time; NaN if
 *     unknown
 */
public record LearntSnapshot(
        String dispatcher, long savedMicros, double servedShare, List<Entry> entries) {

    /**
     * One learnt entry of the policy state.
     *
     * @param startedMillis start time of the worker that it describes, as reported by discovery; 0
     *     if it does not describe a worker
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
     * Captures learnt state; entries of workers that are not listed are dropped.
     *
     * @param startedMillis current start time of each worker, by its id
     */
    public static LearntSnapshot capture(
            String dispatcher,
            long nowMicros,
            double servedShare,
            List<PolicyStateEntry> learnt,
            Map<String, Long> startedMillis) {
        List<Entry> entries = new ArrayList<>();
        for (PolicyStateEntry entry : learnt) {
            if (!LearntStateAging.isWorkerState(entry)) {
                entries.add(new Entry(entry, 0));
            } else if (startedMillis.containsKey(entry.name())) {
                entries.add(new Entry(entry, startedMillis.get(entry.name())));
            }
        }
        return new LearntSnapshot(dispatcher, nowMicros, servedShare, entries);
    }

    /** The age of the snapshot; 0 if the clock was set back a little since it was written. */
    public long ageMicros(long nowMicros) {
        return Math.max(0, nowMicros - savedMicros);
    }

    /**
     * The entries that may still be trusted, aged to the present.
     *
     * @param startedMillis current start time of each worker, by its id, as discovery reports it
     */
    public List<PolicyStateEntry> trustedEntries(long nowMicros, Map<String, Long> startedMillis) {
        List<PolicyStateEntry> trusted = new ArrayList<>();
        for (Entry entry : entries) {
            Long startedNow = startedMillis.get(entry.learnt().name());
            // A worker that is not listed or has restarted since is not the one that this was
            // learnt about.
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

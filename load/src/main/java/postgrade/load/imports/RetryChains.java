package postgrade.load.imports;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import postgrade.load.source.Policies;
import postgrade.trace.TraceJob;

/**
 * Recognises retries among records in the order of time: those that clients have marked or, where
 * none is marked and the plan allows it, those alike to one whose answer was a refusal, a failure
 * or a give-up, and that come after it within a window.
 */
final class RetryChains {

    private static final int MOST_HELD = 200_000;
    private static final int MOST_OF_ONE = 64;

    private record Key(String jobClass, String tenant, String key) {}

    /** A try that may be followed by a retry. */
    private record Try(long first, int attempt, long endMicros, boolean failed) {}

    /**
     * @param firstTry 0 for a first try; @param orphan marked as a retry of none that is there
     */
    record Link(long firstTry, int attempt, boolean orphan) {
        static final Link FIRST = new Link(0, 0, false);
        static final Link ORPHAN = new Link(0, 0, true);
    }

    private final Policies policies;
    private final boolean guesses;
    private final Map<Key, Tries> open = new LinkedHashMap<>();
    private int held;

    /** The tries of one key that no retry has followed yet, in order. */
    private static final class Tries {
        final List<Try> all = new ArrayList<>(1);
        long lastMicros;
    }

    /**
     * @param marks whether the sources have marked any: clients that mark their retries mark them
     *     all
     */
    RetryChains(Policies policies, boolean marks) {
        this.policies = policies;
        guesses = policies.retries == Policies.Retries.AUTO && !marks;
    }

    /**
     * What the record is a retry of. The try that it follows is taken: no other retry follows it.
     */
    Link link(Record r) {
        Tries tries = policies.retries == Policies.Retries.NONE ? null : open.get(key(r));
        // Without a mark it must have something of its own in common with the try before it.
        boolean may = r.markedRetry || guesses && (r.retryKey != null || r.key != null);
        Try before = tries == null || !may ? null : latest(tries, r);
        if (before == null) {
            return r.markedRetry ? Link.ORPHAN : Link.FIRST;
        }
        tries.all.remove(before);
        held--;
        return new Link(before.first, before.attempt + 1, false);
    }

    /**
     * The latest try that failed and was over before this record; for a marked one any, where none
     * failed.
     */
    private Try latest(Tries tries, Record r) {
        Try any = null;
        for (int i = tries.all.size() - 1; i >= 0; i--) {
            Try t = tries.all.get(i);
            boolean near = r.at >= t.endMicros && r.at - t.endMicros <= policies.retryWindowMicros;
            if (near && t.failed) {
                return t;
            }
            any = any == null && near ? t : any;
        }
        return r.markedRetry ? any : null;
    }

    /** Remembers the record, which now has a number in the trace. */
    void written(Record r, long number, Link link) {
        boolean failed = TraceJob.failed(r.status, r.durationMicros, r.deadlineMicros);
        // Without marks only a try that failed can be followed by a retry.
        if (policies.retries == Policies.Retries.NONE
                || guesses && (!failed || r.retryKey == null && r.key == null)) {
            return;
        }
        Key key = key(r);
        Tries tries = open.remove(key);
        tries = tries == null ? new Tries() : tries;
        tries.all.removeIf(t -> r.at - t.endMicros > policies.retryWindowMicros && forgotten());
        if (tries.all.size() == MOST_OF_ONE) {
            tries.all.remove(0);
            held--;
        }
        tries.all.add(
                new Try(
                        link.firstTry == 0 ? number : link.firstTry,
                        link.attempt,
                        r.at + Math.max(0, r.durationMicros),
                        failed));
        held++;
        tries.lastMicros = r.at;
        open.put(key, tries);
        forget(r.at);
    }

    private boolean forgotten() {
        held--;
        return true;
    }

    /** Guards the memory: what is too old to be tried again is dropped, oldest first. */
    private void forget(long now) {
        Iterator<Tries> oldest = open.values().iterator();
        while (oldest.hasNext()) {
            Tries t = oldest.next();
            if (held <= MOST_HELD && now - t.lastMicros <= 2 * policies.retryWindowMicros) {
                return;
            }
            held -= t.all.size();
            oldest.remove();
        }
    }

    private static Key key(Record r) {
        return new Key(
                r.jobClass,
                r.tenant,
                Objects.requireNonNullElse(r.retryKey, Objects.requireNonNullElse(r.key, "")));
    }
}

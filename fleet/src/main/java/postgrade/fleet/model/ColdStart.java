package postgrade.fleet.model;

import java.util.ArrayDeque;

/**
 * How far a worker has warmed up since its start, and whether it was sent more than a cold one
 * bears.
 */
final class ColdStart {

    private final WorkerSpec spec;
    private final ArrayDeque<long[]> sent = new ArrayDeque<>();
    private long bornMicros;

    ColdStart(WorkerSpec spec, long bornMicros) {
        this.spec = spec;
        this.bornMicros = bornMicros;
    }

    void again(long now) {
        bornMicros = now;
        sent.clear();
    }

    boolean cold(long now) {
        return now - bornMicros < spec.warmMicros();
    }

    double warmth(long now) {
        return cold(now)
                ? spec.coldShare() + (1 - spec.coldShare()) * (now - bornMicros) / spec.warmMicros()
                : 1;
    }

    /** True where it falls over by this work: a cold worker bears only so much within a time. */
    boolean burden(long now, double workMicros, double capacity) {
        sent.addLast(new long[] {now, (long) workMicros});
        while (sent.peekFirst()[0] < now - spec.fallMicros()) {
            sent.pollFirst();
        }
        double all = sent.stream().mapToLong(s -> s[1]).sum();
        // One job may be large by chance: that alone tips nobody.
        return sent.size() > spec.cores() + 1
                && all > spec.fallMultiple() * capacity * spec.fallMicros();
    }
}

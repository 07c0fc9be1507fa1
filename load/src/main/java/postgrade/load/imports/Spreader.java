package postgrade.load.imports;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Spreads records that were written with the same coarse time evenly over what that time stands
 * for: forty lines of one second did not come all at its start. Takes and gives records in the
 * order of time.
 */
final class Spreader {

    /** Finer times than this are left as they are. */
    private static final long COARSE_MICROS = 1_000_000;

    private final Sorter.Taker next;
    private final boolean spreads;
    private final List<Record> group = new ArrayList<>();
    private final PriorityQueue<Record> waiting = new PriorityQueue<>(Record::compare);
    private long spread;

    Spreader(boolean spreads, Sorter.Taker next) {
        this.spreads = spreads;
        this.next = next;
    }

    void take(Record r) throws IOException {
        if (!spreads || r.resolution < COARSE_MICROS) {
            if (spreads && (!group.isEmpty() || !waiting.isEmpty())) {
                waiting.add(r);
                release(r.at);
            } else {
                next.take(r);
            }
            return;
        }
        if (!group.isEmpty() && group.get(0).at != r.at) {
            endGroup(r.at);
            release(r.at);
        }
        group.add(r);
    }

    /**
     * @param then when what follows begins
     */
    private void endGroup(long then) throws IOException {
        int n = group.size();
        boolean apart =
                waiting.isEmpty() && n > 0 && group.get(0).at + group.get(0).resolution <= then;
        for (int i = 0; i < n; i++) {
            Record r = group.get(i);
            r.at += (2L * i + 1) * r.resolution / (2L * n);
            if (apart) {
                next.take(r); // Nothing else lies between: no need to sort.
            } else {
                waiting.add(r);
            }
        }
        spread += n;
        group.clear();
    }

    /** What is older than anything that may still come goes on. */
    private void release(long before) throws IOException {
        while (!waiting.isEmpty()
                && waiting.peek().at <= before
                && (group.isEmpty() || waiting.peek().at <= group.get(0).at)) {
            next.take(waiting.poll());
        }
    }

    void end() throws IOException {
        endGroup(Long.MAX_VALUE);
        release(Long.MAX_VALUE);
    }

    /** How many records were given finer times than they came with. */
    long spread() {
        return spread;
    }
}

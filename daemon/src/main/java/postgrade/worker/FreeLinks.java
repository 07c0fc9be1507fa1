package postgrade.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import postgrade.dispatch.Timers;

/** The connections of a pool that carry nothing: those that rest, and the idle ones. */
final class FreeLinks {
    /**
     * So long an answered connection carries nothing. Guards the next request on it against a
     * second answer that comes late: it would be taken for that one's, and one that tells of a job
     * not run would let it run twice.
     */
    static final long REST_MICROS = 20_000;

    private final Timers timers;
    private final KeepAlive keepAlive;
    private final ArrayDeque<Link> idle = new ArrayDeque<>();

    /**
     * The one that began first in front. One whose rest is over stays among them until one is
     * taken.
     */
    private final ArrayDeque<Link> resting = new ArrayDeque<>();

    FreeLinks(Timers timers, KeepAlive keepAlive) {
        this.timers = timers;
        this.keepAlive = keepAlive;
    }

    /** The one that became idle last, or null. */
    Link take() {
        long rested = timers.nowMicros() - REST_MICROS;
        while (!resting.isEmpty() && resting.peek().freeMicros <= rested) {
            Link link = resting.poll();
            link.to(Link.State.IDLE);
            idle.add(link);
        }
        for (Link link = idle.pollLast(); link != null; link = idle.pollLast()) {
            link.timer.cancel();
            // Guards against a connection that its provider has closed since the loop last looked
            // at it, and one that
            // has been idle for too long by what has been learnt since.
            link.idleMicros = timers.nowMicros() - link.freeMicros;
            if (link.idleMicros < keepAlive.limitMicros(timers.nowMicros())
                    && link.connection.isStillOpen()) {
                return link;
            }
            link.fail();
        }
        return null;
    }

    /**
     * @param as {@code IDLE} or {@code RESTING}
     */
    void add(Link link, Link.State as) {
        link.to(as);
        link.freeMicros = timers.nowMicros();
        (as == Link.State.IDLE ? idle : resting).add(link);
        link.connection.setIdle(true, false);
        // Guards against the provider's own closing of idle connections: what is written then is
        // reset.
        link.timer =
                timers.at(
                        timers.nowMicros() + keepAlive.limitMicros(timers.nowMicros()), link::fail);
    }

    /** One that rests and was removed is among the free ones again, in the order of their rest. */
    void putBack(Link link) {
        List<Link> ordered = new ArrayList<>(resting);
        ordered.add(link);
        ordered.sort(Comparator.comparingLong(one -> one.freeMicros));
        resting.clear();
        resting.addAll(ordered);
    }

    void remove(Link link) {
        idle.remove(link);
        resting.remove(link);
    }

    int resting() {
        return resting.size();
    }

    /** When the first of those that rest may carry a request. */
    long firstRestedMicros() {
        return resting.peek().freeMicros + REST_MICROS;
    }

    void close() {
        for (ArrayDeque<Link> links : List.of(idle, resting)) {
            new ArrayList<>(links).forEach(Link::fail);
        }
    }
}

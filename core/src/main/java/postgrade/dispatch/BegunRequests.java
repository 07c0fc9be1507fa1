package postgrade.dispatch;

import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * Remembers which jobs that must not run twice have been written to a worker, so that an id that
 * comes again is not begun again: after its client has left, and at another process of this
 * dispatcher. A request of another kind may come again once it is settled, and at once where the
 * process that had it was killed. Must be used on the event loop thread only.
 */
final class BegunRequests {

    private final Predicate<String> mayRunAgain;
    private final RecentRequestIds recent = new RecentRequestIds();
    private LongConsumer announcement = fingerprint -> {};

    /**
     * @param mayRunAgain whether a job of this class may run more than once
     */
    BegunRequests(Predicate<String> mayRunAgain) {
        this.mayRunAgain = mayRunAgain;
    }

    /** Sets the receiver of the fingerprints of requests that begin from now on. */
    void announceTo(LongConsumer receiver) {
        announcement = receiver;
    }

    /** The request is being written to a worker. */
    void begin(PendingRequest request) {
        if (!mayRunAgain.test(request.jobClass())) {
            long fingerprint = RecentRequestIds.fingerprint(request.id());
            if (recent.add(fingerprint)) {
                announcement.accept(fingerprint);
            }
        }
    }

    /** Adds requests that another process of this dispatcher has begun. */
    void addAll(long[] fingerprints) {
        for (long fingerprint : fingerprints) {
            recent.add(fingerprint);
        }
    }

    /** Whether a request with this id may have run and must not run again here. */
    boolean mayHaveRun(String id) {
        return recent.contains(RecentRequestIds.fingerprint(id));
    }

    /** Returns the fingerprints for another process, which must begin none of these requests. */
    long[] export() {
        return recent.fingerprints();
    }
}

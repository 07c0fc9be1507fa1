package postgrade.fleet.model;

/**
 * A worker's accelerators. Each remembers the highest grant that it was told of and turns an older
 * one away, and none is begun for a later grant while anything of an earlier one runs on that
 * grant's accelerators. A new process remembers nothing.
 */
final class Accelerators {

    private final long[] highest;
    private final Job[] users;

    Accelerators(int count) {
        highest = new long[count];
        users = new Job[count];
    }

    /**
     * Whether a later grant of any of its accelerators has been seen, or there are no such
     * accelerators.
     */
    boolean turnsAway(Fence f) {
        for (Fence.Grant g : f.grants()) {
            if (highest.length < 64 && g.mask() >> highest.length != 0) {
                return true;
            }
        }
        for (int i = 0; i < highest.length; i++) {
            long number = f.on(i);
            if (number != 0 && number < highest[i]) {
                return true;
            }
        }
        return false;
    }

    /** True where some accelerator hears of a later grant than before. */
    boolean hears(Fence f) {
        boolean later = false;
        for (int i = 0; i < highest.length; i++) {
            if (f.on(i) > highest[i]) {
                highest[i] = f.on(i);
                later = true;
            }
        }
        return later;
    }

    /** The accelerator that the job may begin on now, or -1. */
    int freeFor(Fence f) {
        if (!f.any()) {
            return freeUnreserved();
        }
        int free = -1;
        for (int i = highest.length - 1; i >= 0; i--) {
            long number = f.on(i);
            if (number != 0 && users[i] != null && users[i].fence.on(i) < number) {
                return -1; // Of an earlier grant, or of none: the later one does not run beside it.
            }
            if (number != 0 && users[i] == null) {
                free = i;
            }
        }
        return free;
    }

    /** One that was never reserved first; else that with the oldest grant. */
    private int freeUnreserved() {
        int free = -1;
        for (int i = 0; i < users.length; i++) {
            if (users[i] == null && (free < 0 || highest[i] < highest[free])) {
                free = i;
            }
        }
        return free;
    }

    void use(int accelerator, Job job) {
        users[accelerator] = job;
    }

    /** The one that this job runs on, or -1. */
    int of(Job job) {
        for (int i = 0; i < users.length; i++) {
            if (users[i] == job) {
                return i;
            }
        }
        return -1;
    }

    void leave(Job job) {
        if (of(job) >= 0) {
            users[of(job)] = null;
        }
    }

    void forget() {
        java.util.Arrays.fill(highest, 0);
        java.util.Arrays.fill(users, null);
    }
}

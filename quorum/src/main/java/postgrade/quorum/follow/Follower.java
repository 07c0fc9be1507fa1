package postgrade.quorum.follow;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import postgrade.quorum.engine.Faults;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.shared.View;

/**
 * Keeps the view: pulls what has changed, from one voter as long as it answers, then from the next.
 * A view counts from when its pull was sent, and only where the leader's quorum confirmed after
 * that.
 */
public final class Follower {

    /** The longest pause after failures, in pulls. */
    private static final int MOST_PAUSE = 8;

    /**
     * A process that had to turn to another voter looks for its first one again after so many
     * pulls.
     */
    private static final int RETURN_AFTER = 40;

    private static final int MOST_FAILURES = 5;
    static final String NO_VIEW =
            "no voter confirms a view: there is no quorum, or none can be reached";

    /** Between two pages, so that others are served meanwhile. */
    private static final long PAGE_PAUSE_MICROS = 1_000;

    private final QuorumSettings settings;
    private final LongSupplier nowMicros;
    private final FollowThread thread;
    private final List<Way> ways;
    private final Eras eras;
    private final Faults faults;
    private final SplittableRandom random;
    private volatile View view = View.NONE;
    private final Gathering gathering = new Gathering(View.NONE);
    private volatile String leader;
    private volatile int voters;
    private int at;
    private int failures;
    private int pulls;
    private int sent;
    private int good;

    Follower(
            QuorumSettings settings,
            LongSupplier nowMicros,
            FollowThread thread,
            List<Way> ways,
            Eras eras,
            Faults faults,
            long seed) {
        this.settings = settings;
        this.nowMicros = nowMicros;
        this.thread = thread;
        this.ways = ways;
        this.eras = eras;
        this.faults = faults;
        random = new SplittableRandom(seed);
    }

    View view() {
        return view;
    }

    String leader() {
        return leader;
    }

    int voters() {
        return voters;
    }

    void start() {
        thread.after(
                this::pull, (long) (random.nextDouble() * settings.pullIntervalMillis() * 1000));
    }

    private void pull() {
        if (++pulls % RETURN_AFTER == 0) {
            at = 0;
        }
        Way way = ways.get(at % ways.size());
        int number = ++sent;
        long asOf = nowMicros.getAsLong();
        PullRequest request =
                gathering
                        .asks()
                        .setName(settings.name())
                        .setEra(eras.era())
                        .setGroup(eras.group())
                        .build();
        boolean[] over = {false};
        // First, so that a pull that fails is not the last. A voter in this process has no deadline
        // of its own.
        thread.after(
                () -> answered(way, number, over, asOf, null),
                settings.requestTimeoutMillis() * 1000L + 50_000);
        way.pull(
                request,
                settings.requestTimeoutMillis(),
                reply -> thread.run(() -> answered(way, number, over, asOf, reply)));
    }

    private void answered(Way way, int number, boolean[] over, long asOf, PullReply reply) {
        if (over[0] || number != sent) {
            return;
        }
        over[0] = true;
        if (reply != null && reply.getBusyMillis() > 0) {
            next(reply.getBusyMillis());
            return;
        }
        if (reply == null || !reply.hasMoment() || !eras.takes(way.voter(), reply.getGroup())) {
            failed();
            return;
        }
        boolean taken = false;
        try {
            take(asOf, reply);
            taken = true;
        } finally {
            if (!taken) {
                failed(); // Guards the pulls to come: no answer, whatever it is, ends them.
            }
        }
        if (gathering.goesOn()) {
            thread.after(this::pull, PAGE_PAUSE_MICROS);
            return;
        }
        long spent = (nowMicros.getAsLong() - asOf) / 1000;
        next(Math.max(1, settings.pullIntervalMillis() - spent));
    }

    private void failed() {
        leader = null;
        failures++;
        at++;
        if (failures == MOST_FAILURES) {
            faults.set(NO_VIEW);
        }
        next(
                pauseMillis(
                        settings.pullIntervalMillis(),
                        failures,
                        view.known() ? 0 : 2 * ways.size()));
    }

    private void take(long asOf, PullReply reply) {
        View told = gathering.take(asOf, reply);
        view = told == null ? view : told;
        faults.clear(NO_VIEW);
        good = failures > 0 ? 0 : good + 1;
        failures = 0;
        if (good == RETURN_AFTER) {
            faults.clear(); // Not at the first good answer: two eras may take turns.
        }
        leader = reply.getLeader().isEmpty() ? null : reply.getLeader();
        voters = reply.getVoters();
    }

    /**
     * One that has no view yet asks the next voter soon, each twice: the first may be down, and the
     * first call of a process is slow. From then on it is no more impatient than others, and no
     * less.
     *
     * @param quick so many failures are followed by a short pause
     */
    static long pauseMillis(int pullMillis, int failures, int quick) {
        return failures <= quick
                ? pullMillis / 4
                : (long) pullMillis * Math.min(MOST_PAUSE, 1 << Math.min(failures - quick - 1, 3));
    }

    /** The pause is spread, so that processes that began together do not stay together. */
    private void next(long millis) {
        thread.after(this::pull, (long) (millis * 1000 * (0.8 + 0.4 * random.nextDouble())));
    }
}

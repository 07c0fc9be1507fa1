package postgrade.quorum.follow;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import postgrade.quorum.engine.FaultStatus;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.shared.View;

/**
 * Keeps the view up to date: pulls changes from one voter as long as it answers, then from the
 * next. A view's age counts from when its pull was sent, and a view is accepted only if the
 * leader's quorum confirmed it after that.
 */
public final class Follower {

    /** Longest pause after failures, as a multiple of the pull interval. */
    private static final int MAX_BACKOFF_PULLS = 8;

    /**
     * Number of pulls after which a process that switched to another voter tries its first one
     * again.
     */
    private static final int PULLS_BEFORE_RETURN = 40;

    private static final int FAILURES_BEFORE_FAULT = 5;
    static final String NO_VIEW_FAULT =
            "no voter confirms a view: there is no quorum, or none can be reached";

    /** Pause between two pages, so that the voter can serve other requests meanwhile. */
    private static final long PAGE_PAUSE_MICROS = 1_000;

    private final QuorumSettings settings;
    private final LongSupplier nowMicros;
    private final FollowerThread thread;
    private final List<VoterChannel> channels;
    private final CurrentEra currentEra;
    private final FaultStatus faultStatus;
    private final SplittableRandom random;
    private volatile View view = View.NONE;
    private final ViewAssembler viewAssembler = new ViewAssembler(View.NONE);
    private volatile String leader;
    private volatile int voters;
    private int channelIndex;
    private int consecutiveFailures;
    private int pulls;
    private int latestPullNumber;
    private int consecutiveSuccesses;

    Follower(
            QuorumSettings settings,
            LongSupplier nowMicros,
            FollowerThread thread,
            List<VoterChannel> channels,
            CurrentEra currentEra,
            FaultStatus faultStatus,
            long seed) {
        this.settings = settings;
        this.nowMicros = nowMicros;
        this.thread = thread;
        this.channels = channels;
        this.currentEra = currentEra;
        this.faultStatus = faultStatus;
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
        thread.schedule(
                this::pull, (long) (random.nextDouble() * settings.pullIntervalMillis() * 1000));
    }

    private void pull() {
        if (++pulls % PULLS_BEFORE_RETURN == 0) {
            channelIndex = 0;
        }
        VoterChannel channel = channels.get(channelIndex % channels.size());
        int pullNumber = ++latestPullNumber;
        long asOfMicros = nowMicros.getAsLong();
        PullRequest request =
                viewAssembler
                        .nextRequest()
                        .setName(settings.name())
                        .setEra(currentEra.era())
                        .setGroup(currentEra.group())
                        .build();
        boolean[] handled = {false};
        // Scheduled first, so that pulling continues if this pull fails. A call to the voter in
        // this process has no deadline of its own.
        thread.schedule(
                () -> onReply(channel, pullNumber, handled, asOfMicros, null),
                settings.requestTimeoutMillis() * 1000L + 50_000);
        channel.pull(
                request,
                settings.requestTimeoutMillis(),
                reply ->
                        thread.execute(
                                () -> onReply(channel, pullNumber, handled, asOfMicros, reply)));
    }

    private void onReply(
            VoterChannel channel,
            int pullNumber,
            boolean[] handled,
            long asOfMicros,
            PullReply reply) {
        if (handled[0] || pullNumber != latestPullNumber) {
            return;
        }
        handled[0] = true;
        if (reply != null && reply.getBusyMillis() > 0) {
            scheduleNextPull(reply.getBusyMillis());
            return;
        }
        if (reply == null
                || !reply.hasMoment()
                || !currentEra.accept(channel.voter(), reply.getGroup())) {
            onFailure();
            return;
        }
        boolean accepted = false;
        try {
            acceptPage(asOfMicros, reply);
            accepted = true;
        } finally {
            if (!accepted) {
                onFailure(); // Keeps pulling even if the answer cannot be processed.
            }
        }
        if (viewAssembler.expectsMore()) {
            thread.schedule(this::pull, PAGE_PAUSE_MICROS);
            return;
        }
        long elapsedMillis = (nowMicros.getAsLong() - asOfMicros) / 1000;
        scheduleNextPull(Math.max(1, settings.pullIntervalMillis() - elapsedMillis));
    }

    private void onFailure() {
        leader = null;
        consecutiveFailures++;
        channelIndex++;
        if (consecutiveFailures == FAILURES_BEFORE_FAULT) {
            faultStatus.set(NO_VIEW_FAULT);
        }
        scheduleNextPull(
                pauseMillis(
                        settings.pullIntervalMillis(),
                        consecutiveFailures,
                        view.known() ? 0 : 2 * channels.size()));
    }

    private void acceptPage(long asOfMicros, PullReply reply) {
        View assembled = viewAssembler.accept(asOfMicros, reply);
        view = assembled == null ? view : assembled;
        faultStatus.clear(NO_VIEW_FAULT);
        consecutiveSuccesses = consecutiveFailures > 0 ? 0 : consecutiveSuccesses + 1;
        consecutiveFailures = 0;
        if (consecutiveSuccesses == PULLS_BEFORE_RETURN) {
            faultStatus.clear(); // Not at the first success: voters of two eras may answer in turn.
        }
        leader = reply.getLeader().isEmpty() ? null : reply.getLeader();
        voters = reply.getVoters();
    }

    /**
     * The pause after a failed pull. A process without a view retries soon, trying each voter
     * twice, as the first may be down and the first call of a process is slow. After that, it backs
     * off like any other.
     *
     * @param quickRetries number of failures that are followed by a short pause
     */
    static long pauseMillis(int pullIntervalMillis, int failures, int quickRetries) {
        return failures <= quickRetries
                ? pullIntervalMillis / 4
                : (long) pullIntervalMillis
                        * Math.min(
                                MAX_BACKOFF_PULLS, 1 << Math.min(failures - quickRetries - 1, 3));
    }

    /** Randomises the pause, so that processes started together do not pull in step. */
    private void scheduleNextPull(long millis) {
        thread.schedule(this::pull, (long) (millis * 1000 * (0.8 + 0.4 * random.nextDouble())));
    }
}

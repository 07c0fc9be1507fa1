package postgrade.daemon;

import java.util.OptionalLong;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.client.ClientListener;
import postgrade.dispatch.RequestTracker;
import postgrade.extension.DispatcherExtension;
import postgrade.lifecycle.Lifecycle;
import postgrade.log.Events;
import postgrade.upgrade.UpgradeCoordinator;
import postgrade.worker.WorkerConnectionPools;

/**
 * Carries out what the lifecycle asks for in standby and on the way to the end, which it finds. On
 * the loop.
 */
final class ShutdownSequence {

    private static final Logger LOG = LoggerFactory.getLogger(ShutdownSequence.class);
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * SIGTERM may have been sent so long before this process heard of it, which may be held up.
     * What came that much sooner after we heard of it may have come as late after it was sent.
     */
    private static final long SIGNAL_DELAY_MICROS = 150_000;

    private final EventLoop loop;
    private final Lifecycle lifecycle;
    private final RequestTracker requestTracker;
    private final WorkerConnectionPools workerPools;
    private final ClientListener listener;
    private final UpgradeCoordinator upgrade;

    /** Null where nothing stands beside this dispatcher. */
    private final DispatcherExtension extension;

    private final Supplier<Config> config;

    /** A check of what the lifecycle asks for is due. */
    private boolean checkScheduled;

    ShutdownSequence(
            EventLoop loop,
            Lifecycle lifecycle,
            RequestTracker requestTracker,
            WorkerConnectionPools workerPools,
            ClientListener listener,
            UpgradeCoordinator upgrade,
            DispatcherExtension extension,
            Supplier<Config> config) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.requestTracker = requestTracker;
        this.workerPools = workerPools;
        this.listener = listener;
        this.upgrade = upgrade;
        this.extension = extension;
        this.config = config;
    }

    /** The process is told to end. */
    void begin() {
        Events.info(LOG, "daemon.stopping").log("stopping: no longer ready, serving on");
        // Guards the consumers who hold a connection: while it is open they go on using it, and
        // until SIGKILL
        // is near they are served as well here as anywhere. All of us may be restarting in turn.
        lifecycle.stop(
                loop.nowMicros(),
                config.get().deadlineMicros.values().stream()
                        .mapToLong(d -> d)
                        .max()
                        .orElse(Long.MAX_VALUE),
                upgrade.hasSuccessor());
        upgrade.announceStopping();
        if (extension != null) {
            extension.stopping();
        }
        listener.applyLifecycle();
        scheduleCheck();
    }

    /** Does what standby and the end ask for, again and again while either lasts. */
    void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            loop.at(loop.nowMicros() + Daemon.SHUTDOWN_CHECK_INTERVAL_MICROS, this::runCheck);
        }
    }

    /**
     * Attempts that are out are waited for, but near SIGKILL only until each worker has been asked
     * to drop what is out for answered requests: one that is silent would keep the listener open
     * until then.
     */
    private boolean isDrained(long nowMicros) {
        if (!lifecycle.mustExit(nowMicros)) {
            return requestTracker.isIdle() && workerPools.hasNoCancellations();
        }
        requestTracker.cancelUnwanted();
        return requestTracker.allAnswered() && workerPools.allCancellationsAttempted();
    }

    private void runCheck() {
        checkScheduled = false;
        listener.applyLifecycle();
        long nowMicros = loop.nowMicros();
        OptionalLong concludeSinceMicros = lifecycle.forcedAnswerCutoff(nowMicros);
        if (concludeSinceMicros.isPresent()) {
            // Guards the one answer: what SIGKILL finds unanswered of these is lost.
            requestTracker.failArrivedSince(concludeSinceMicros.getAsLong() - SIGNAL_DELAY_MICROS);
            if (lifecycle.mayExit(nowMicros)) {
                listener.rejectIncompleteRequests();
            }
        }
        boolean allAnswered =
                lifecycle.mayExit(nowMicros) && isDrained(nowMicros) && listener.isIdle();
        // Guards the last requests and answers: with the process go what lies unread in its sockets
        // and backlog, and by a
        // reset what peers have not read yet.
        if (allAnswered && (listener.tryCloseAll() || lifecycle.mustExit(nowMicros))) {
            long stoppingMillis = lifecycle.stoppingForMicros(nowMicros) / MICROS_PER_MILLI;
            Events.info(LOG, "daemon.stopped")
                    .addKeyValue("ms", stoppingMillis)
                    .log("stopped after " + stoppingMillis + " ms, all answered");
            if (extension != null) {
                extension.close();
            }
            upgrade.close();
            loop.stop();
        } else if (lifecycle.state() != Lifecycle.State.ACTIVE) {
            scheduleCheck();
        }
    }
}

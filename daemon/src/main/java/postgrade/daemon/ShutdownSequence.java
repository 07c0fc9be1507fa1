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
 * Carries out what the lifecycle requires in standby and during shutdown, and detects when the
 * process may exit. Runs on the event loop.
 */
final class ShutdownSequence {

    private static final Logger LOG = LoggerFactory.getLogger(ShutdownSequence.class);
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * Bound on the time between the sending of SIGTERM and its handling by this process, which may
     * be delayed. Requests that arrived up to this long before it was handled may have arrived
     * after it was sent.
     */
    private static final long SIGNAL_DELAY_MICROS = 150_000;

    private final EventLoop loop;
    private final Lifecycle lifecycle;
    private final RequestTracker requestTracker;
    private final WorkerConnectionPools workerPools;
    private final ClientListener listener;
    private final UpgradeCoordinator upgrade;

    /** Null if no extension is configured. */
    private final DispatcherExtension extension;

    private final Supplier<Config> config;

    /** Whether a check of what the lifecycle requires is scheduled. */
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

    /** Begins the shutdown, on SIGTERM. */
    void begin() {
        Events.info(LOG, "daemon.stopping").log("stopping: no longer ready, still serving");
        // Clients with an open connection go on using it, and until shortly before SIGKILL this
        // process serves them as well as any other. All dispatchers may be restarted one after
        // another.
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

    /** Schedules a check, which repeats itself while standby or shutdown lasts. */
    void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            loop.at(loop.nowMicros() + Daemon.SHUTDOWN_CHECK_INTERVAL_MICROS, this::runCheck);
        }
    }

    /**
     * Attempts in flight are awaited. Shortly before SIGKILL only the cancellations of answered
     * requests are: each worker must have been asked to drop them, but a worker that does not
     * respond would otherwise keep the listener open until SIGKILL.
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
            // Each request must get its answer: those of these requests that are unanswered at
            // SIGKILL would get none.
            requestTracker.failArrivedSince(concludeSinceMicros.getAsLong() - SIGNAL_DELAY_MICROS);
            if (lifecycle.mayExit(nowMicros)) {
                listener.rejectIncompleteRequests();
            }
        }
        boolean allAnswered =
                lifecycle.mayExit(nowMicros) && isDrained(nowMicros) && listener.isIdle();
        // When the process exits, unread data in its sockets and backlog is lost, and a reset
        // discards answers that peers have not read yet.
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

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
    private static final long HEARD_LATE_MICROS = 150_000;

    private final EventLoop loop;
    private final Lifecycle lifecycle;
    private final RequestTracker gateway;
    private final WorkerConnectionPools providers;
    private final ClientListener listener;
    private final UpgradeCoordinator upgrade;

    /** Null where nothing stands beside this dispatcher. */
    private final DispatcherExtension companion;

    private final Supplier<Config> config;

    /** A check of what the lifecycle asks for is due. */
    private boolean checking;

    ShutdownSequence(
            EventLoop loop,
            Lifecycle lifecycle,
            RequestTracker gateway,
            WorkerConnectionPools providers,
            ClientListener listener,
            UpgradeCoordinator upgrade,
            DispatcherExtension companion,
            Supplier<Config> config) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.gateway = gateway;
        this.providers = providers;
        this.listener = listener;
        this.upgrade = upgrade;
        this.companion = companion;
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
        upgrade.stopping();
        if (companion != null) {
            companion.stopping();
        }
        listener.applyLifecycle();
        check();
    }

    /** Does what standby and the end ask for, again and again while either lasts. */
    void check() {
        if (!checking) {
            checking = true;
            loop.at(loop.nowMicros() + Daemon.STOP_CHECK_MICROS, this::checked);
        }
    }

    /**
     * Attempts that are out are waited for, but near SIGKILL only until each worker has been asked
     * to drop what is out for answered requests: one that is silent would keep the listener open
     * until then.
     */
    private boolean owesNothing(long now) {
        if (!lifecycle.mustExit(now)) {
            return gateway.isIdle() && providers.hasNoCancellations();
        }
        gateway.cancelUnwanted();
        return gateway.allAnswered() && providers.allCancellationsAttempted();
    }

    private void checked() {
        checking = false;
        listener.applyLifecycle();
        long now = loop.nowMicros();
        OptionalLong late = lifecycle.forcedAnswerCutoff(now);
        if (late.isPresent()) {
            // Guards the one answer: what SIGKILL finds unanswered of these is lost.
            gateway.failArrivedSince(late.getAsLong() - HEARD_LATE_MICROS);
            if (lifecycle.mayExit(now)) {
                listener.rejectIncompleteRequests();
            }
        }
        boolean answered = lifecycle.mayExit(now) && owesNothing(now) && listener.isIdle();
        // Guards the last requests and answers: with the process go what lies unread in its sockets
        // and backlog, and by a
        // reset what peers have not read yet.
        if (answered && (listener.tryCloseAll() || lifecycle.mustExit(now))) {
            long millis = lifecycle.stoppingForMicros(now) / MICROS_PER_MILLI;
            Events.info(LOG, "daemon.stopped")
                    .addKeyValue("ms", millis)
                    .log("stopped after " + millis + " ms, all answered");
            if (companion != null) {
                companion.close();
            }
            upgrade.close();
            loop.stop();
        } else if (lifecycle.state() != Lifecycle.State.ACTIVE) {
            check();
        }
    }
}

package postgrade.daemon;

import postgrade.client.ClientListener;
import postgrade.extension.DispatcherExtension;
import postgrade.lifecycle.Lifecycle;

/**
 * Decides when this process first accepts clients, from the listener's backlog or by starting to
 * listen. Runs on the event loop.
 */
final class StartupGate {

    private final EventLoop loop;
    private final Lifecycle lifecycle;
    private final ClientListener listener;

    /** Null if no extension is configured. */
    private final DispatcherExtension extension;

    private final Runnable logListening;

    /** How long clients wait for the first update from discovery. */
    private final long discoveryWaitMicros;

    /** Until when clients also wait for the extension to initialize. */
    private long extensionDeadlineMicros;

    /**
     * Creates the gate, which is open at once after a hand-over.
     *
     * @param tookOver whether a running process has handed over its state, so that there is nothing
     *     to wait for
     */
    StartupGate(
            EventLoop loop,
            Lifecycle lifecycle,
            ClientListener listener,
            DispatcherExtension extension,
            boolean tookOver,
            long discoveryWaitMicros,
            Runnable logListening) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.listener = listener;
        this.extension = extension;
        this.logListening = logListening;
        this.discoveryWaitMicros = tookOver ? 0 : discoveryWaitMicros;
        extensionDeadlineMicros = tookOver ? Long.MIN_VALUE : Long.MAX_VALUE;
        if (this.discoveryWaitMicros == 0) {
            openIfReady();
        }
    }

    /** Starts the wait; called in the loop's first iteration. */
    void startWaiting() {
        extensionDeadlineMicros =
                Math.min(
                        extensionDeadlineMicros,
                        loop.nowMicros()
                                + discoveryWaitMicros
                                + (extension == null ? 0 : extension.initTimeoutMicros()));
        loop.at(loop.nowMicros() + discoveryWaitMicros, this::openOrRetry);
    }

    /**
     * Accepts clients unless the extension is still awaited. Clients wait for discovery because of
     * the drain rule: a drain known to the discovery agent binds this process from its first
     * moment, and the cached worker list may be out of date.
     */
    void openIfReady() {
        boolean awaitsExtension =
                extension != null
                        && !extension.isInitialized()
                        && loop.nowMicros() < extensionDeadlineMicros;
        if (!lifecycle.hasStarted() && !awaitsExtension) {
            boolean wasHeldBack = listener.reservesAddress();
            lifecycle.markStarted();
            listener.applyLifecycle();
            if (lifecycle.acceptsConnections() && listener.reservesAddress()) {
                // A process that nobody can reach exits so that its supervisor restarts it. The
                // cause has been logged.
                Runtime.getRuntime().halt(1);
            }
            if (wasHeldBack) {
                logListening.run();
            }
        }
    }

    private void openOrRetry() {
        openIfReady();
        if (!lifecycle.hasStarted()) {
            loop.at(loop.nowMicros() + Daemon.SHUTDOWN_CHECK_INTERVAL_MICROS, this::openOrRetry);
        }
    }
}

package postgrade.daemon;

import postgrade.client.ClientListener;
import postgrade.extension.DispatcherExtension;
import postgrade.lifecycle.Lifecycle;

/**
 * When consumers are taken from the listener's backlog, or from the address, for the first time. On
 * the loop.
 */
final class StartupGate {

    private final EventLoop loop;
    private final Lifecycle lifecycle;
    private final ClientListener listener;

    /** Null where nothing stands beside this dispatcher. */
    private final DispatcherExtension extension;

    private final Runnable logListening;

    /** Consumers wait for the first word of discovery for so long. */
    private final long discoveryWaitMicros;

    /** And for the companion to know enough until then. */
    private long extensionDeadlineMicros;

    /**
     * @param tookOver a running process has told what there is to know; then nobody waits
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

    /** In the loop's first turn. */
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
     * Takes consumers. Guards the drain rule: what the agent has counts as told from the first
     * moment of this process, and the list known from before may be old.
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
                // Guards against a process that nobody can reach: what restarts us must see it die.
                // The log has the cause.
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

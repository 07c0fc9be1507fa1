package postgrade.daemon;

import postgrade.client.ClientListener;
import postgrade.extension.DispatcherExtension;
import postgrade.lifecycle.Lifecycle;

/**
 * When consumers are taken from the listener's backlog, or from the address, for the first time. On
 * the loop.
 */
final class Beginning {

    private final EventLoop loop;
    private final Lifecycle lifecycle;
    private final ClientListener listener;

    /** Null where nothing stands beside this dispatcher. */
    private final DispatcherExtension companion;

    private final Runnable sayListening;

    /** Consumers wait for the first word of discovery for so long. */
    private final long startMicros;

    /** And for the companion to know enough until then. */
    private long companionMicros;

    /**
     * @param tookOver a running process has told what there is to know; then nobody waits
     */
    Beginning(
            EventLoop loop,
            Lifecycle lifecycle,
            ClientListener listener,
            DispatcherExtension companion,
            boolean tookOver,
            long startMicros,
            Runnable sayListening) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.listener = listener;
        this.companion = companion;
        this.sayListening = sayListening;
        this.startMicros = tookOver ? 0 : startMicros;
        companionMicros = tookOver ? Long.MIN_VALUE : Long.MAX_VALUE;
        if (this.startMicros == 0) {
            begin();
        }
    }

    /** In the loop's first turn. */
    void await() {
        companionMicros =
                Math.min(
                        companionMicros,
                        loop.nowMicros()
                                + startMicros
                                + (companion == null ? 0 : companion.initTimeoutMicros()));
        loop.at(loop.nowMicros() + startMicros, this::awaitCompanion);
    }

    /**
     * Takes consumers. Guards the drain rule: what the agent has counts as told from the first
     * moment of this process, and the list known from before may be old.
     */
    void begin() {
        boolean waits =
                companion != null
                        && !companion.isInitialized()
                        && loop.nowMicros() < companionMicros;
        if (!lifecycle.hasStarted() && !waits) {
            boolean held = listener.reservesAddress();
            lifecycle.markStarted();
            listener.applyLifecycle();
            if (lifecycle.acceptsConnections() && listener.reservesAddress()) {
                // Guards against a process that nobody can reach: what restarts us must see it die.
                // The log has the cause.
                Runtime.getRuntime().halt(1);
            }
            if (held) {
                sayListening.run();
            }
        }
    }

    private void awaitCompanion() {
        begin();
        if (!lifecycle.hasStarted()) {
            loop.at(loop.nowMicros() + Daemon.STOP_CHECK_MICROS, this::awaitCompanion);
        }
    }
}

package postgrade.daemon;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.client.ClientListener;
import postgrade.discovery.DiscoveryWatch;
import postgrade.dispatch.RequestTracker;
import postgrade.log.Events;
import postgrade.worker.WorkerConnectionPools;

/**
 * Reads the configuration again and takes over what can change under way. A faulty one changes
 * nothing. On the loop.
 */
record Reload(
        RequestTracker gateway,
        ClientListener listener,
        WorkerConnectionPools providers,
        DiscoveryWatch watch) {

    private static final Logger LOG = LoggerFactory.getLogger(Reload.class);

    /** Returns what is in force from now on. */
    Config after(Config config) {
        try {
            Config next = config.readAgain();
            String later = String.join(", ", config.keysForNextStart(next));
            Events.info(LOG, "configuration.read-again")
                    .addKeyValue("later", later)
                    .log(
                            "configuration read again"
                                    + (later.isEmpty()
                                            ? ""
                                            : "; only at the next start: " + later));
            if (!config.sameSettings(next)) {
                gateway.settingsChanged(next.settings, next.mostHeld);
                listener.updateSettings(next.deadlineMicros, next.tenantNames());
                providers.updateSettings(
                        next.connectTimeoutMicros,
                        next.idleTimeoutMicros,
                        config.settings.deployment.isSameAs(next.settings.deployment));
            }
            watch.moveTo(next.discovery);
            return next;
        } catch (Config.InvalidConfigException e) {
            Events.warn(LOG, "configuration.not-taken")
                    .addKeyValue("why", e.getMessage())
                    .log(
                            "configuration not taken over, the former one stays: "
                                    + config.file
                                    + ": "
                                    + e.getMessage());
            return config;
        }
    }
}

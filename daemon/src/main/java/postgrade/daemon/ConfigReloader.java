package postgrade.daemon;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.client.ClientListener;
import postgrade.discovery.DiscoveryWatch;
import postgrade.dispatch.RequestTracker;
import postgrade.log.Events;
import postgrade.worker.WorkerConnectionPools;

/**
 * Reads the configuration again and applies the settings that can change while the daemon runs. An
 * invalid configuration changes nothing. Runs on the event loop.
 */
record ConfigReloader(
        RequestTracker requestTracker,
        ClientListener listener,
        WorkerConnectionPools workerPools,
        DiscoveryWatch discoveryWatch) {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigReloader.class);

    /** Returns the configuration in force from now on. */
    Config reload(Config config) {
        try {
            Config next = config.reread();
            String restartKeys = String.join(", ", config.keysNeedingRestart(next));
            Events.info(LOG, "configuration.read-again")
                    .addKeyValue("later", restartKeys)
                    .log(
                            "configuration read again"
                                    + (restartKeys.isEmpty()
                                            ? ""
                                            : "; in force only after a restart: " + restartKeys));
            if (!config.hasSameSettings(next)) {
                requestTracker.settingsChanged(next.settings, next.maxHeldJobs);
                listener.updateSettings(next.deadlineMicros, next.tenantNames());
                workerPools.updateSettings(
                        next.connectTimeoutMicros,
                        next.idleTimeoutMicros,
                        config.settings.deployment.isSameAs(next.settings.deployment));
            }
            discoveryWatch.moveTo(next.discoveryAddress);
            return next;
        } catch (Config.InvalidConfigException e) {
            Events.warn(LOG, "configuration.not-taken")
                    .addKeyValue("why", e.getMessage())
                    .log(
                            "configuration rejected, the previous one stays in force: "
                                    + config.file
                                    + ": "
                                    + e.getMessage());
            return config;
        }
    }
}

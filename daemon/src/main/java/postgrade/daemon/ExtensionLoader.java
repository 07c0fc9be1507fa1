package postgrade.daemon;

import java.io.IOException;
import java.util.ServiceLoader;
import postgrade.extension.DispatcherExtension;
import postgrade.extension.Host;

/** Loads the dispatcher extension that the configuration names, if any. */
final class ExtensionLoader {

    private ExtensionLoader() {}

    /** Returns null if no extension is configured; the class path is not searched then. */
    static DispatcherExtension.Configuration loadConfiguration(Config config)
            throws Config.InvalidConfigException {
        if (config.sharingScript == null) {
            return null;
        }
        DispatcherExtension.Factory finder =
                ServiceLoader.load(DispatcherExtension.Factory.class)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new Config.InvalidConfigException(
                                                "sharing",
                                                "this program does not include sharing; start it with ./postgrade serve"));
        try {
            return finder.read(config.sharingScript, config.name);
        } catch (IllegalArgumentException e) {
            throw new Config.InvalidConfigException("sharing", e.getMessage());
        }
    }

    static DispatcherExtension open(DispatcherExtension.Configuration plan, Host host)
            throws IOException, Config.InvalidConfigException {
        try {
            return plan.open(host);
        } catch (IllegalArgumentException e) {
            throw new Config.InvalidConfigException("sharing", e.getMessage());
        }
    }
}

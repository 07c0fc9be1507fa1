package postgrade.daemon;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.slf4j.LoggerFactory;
import postgrade.log.EventLogs;
import postgrade.log.Events;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Entry point: {@code serve} runs one dispatcher on sockets, {@code benchlink} the simulator's
 * adapter.
 */
public final class Main {

    private static final int EXIT_USAGE = 2;
    private static final String LOG_FORMAT_OPTION = "--log-format=";

    private Main() {}

    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        try {
            EventLogs.configure(logFormat(args));
        } catch (IllegalArgumentException e) {
            System.err.println("postgrade: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        switch (command) {
            case "serve" -> serve();
            case "benchlink" ->
                    System.exit(
                            postgrade.simadapter.SimulatorAdapter.serve(
                                    System.in, System.out, System.err));
            case "rehearse" -> runTraining();
            default -> {
                System.err.println(
                        "usage: java -jar postgrade.jar serve|benchlink [--log-format=text|json]");
                System.exit(EXIT_USAGE);
            }
        }
    }

    /** Runs one job through a dispatcher and exits, for the build's class-data archive. */
    private static void runTraining() throws IOException {
        try {
            ClassDataTraining.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static EventLogs.Format logFormat(String[] args) {
        if (args.length < 2) {
            return EventLogs.Format.TEXT;
        }
        if (args.length > 2 || !args[1].startsWith(LOG_FORMAT_OPTION)) {
            throw new IllegalArgumentException("unknown argument: " + args[args.length - 1]);
        }
        return EventLogs.parseFormat(args[1].substring(LOG_FORMAT_OPTION.length()));
    }

    /** Starts one dispatcher and returns while it serves; exits the process if it cannot start. */
    public static void serve() {
        // A signal that arrives before the dispatcher exists waits for it. By default SIGHUP would
        // end the process, and SIGTERM would reset the connections in the backlog.
        CompletableFuture<Daemon> daemonFuture = new CompletableFuture<>();
        installSignalHandlers(daemonFuture);
        int exitCode = 0;
        try {
            Config config = Config.read(System.getenv());
            Daemon daemon = new Daemon(config, ExtensionLoader.loadConfiguration(config));
            daemon.start();
            daemonFuture.complete(daemon);
        } catch (Config.InvalidConfigException e) {
            System.err.println("postgrade: " + e.getMessage());
            exitCode = EXIT_USAGE;
        } catch (IOException e) {
            System.err.println("postgrade: listen: " + e.getMessage());
            exitCode = 1;
        } finally {
            // Releases signal handlers that wait for a dispatcher if there is none; no effect
            // otherwise.
            daemonFuture.cancel(false);
        }
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    private static void installSignalHandlers(CompletableFuture<Daemon> daemonFuture) {
        // By default the JVM exits on SIGHUP. The JDK has no other API for signals by name; this
        // one belongs to the exported module jdk.unsupported.
        SignalHandler previousHandler =
                Signal.handle(new Signal("HUP"), signal -> daemonFuture.thenAccept(Daemon::reload));
        if (previousHandler == SignalHandler.SIG_IGN) {
            // The JVM keeps ignoring, without a message, a signal that was ignored when it started.
            // A new configuration, for example a new address of discovery, would then never be
            // read.
            Events.warn(LoggerFactory.getLogger(Main.class), "configuration.signal-ignored")
                    .log(
                            "SIGHUP is ignored, as it was when this process was started (by nohup, for example); "
                                    + "the configuration cannot be reloaded until the process is started without that");
        }
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () ->
                                        daemonFuture
                                                .handle(
                                                        (daemon, failure) -> {
                                                            if (daemon != null) {
                                                                daemon.stop();
                                                            }
                                                            return null;
                                                        })
                                                .join(),
                                "stop"));
    }
}

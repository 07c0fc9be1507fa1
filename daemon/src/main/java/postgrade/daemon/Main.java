package postgrade.daemon;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.slf4j.LoggerFactory;
import postgrade.log.EventLogs;
import postgrade.log.Events;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The program: {@code serve} is one dispatcher on sockets, {@code benchlink} the simulator's
 * adapter.
 */
public final class Main {

    private static final int USAGE = 2;
    private static final String LOG_FORMAT = "--log-format=";

    private Main() {}

    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        try {
            EventLogs.configure(logFormat(args));
        } catch (IllegalArgumentException e) {
            System.err.println("postgrade: " + e.getMessage());
            System.exit(USAGE);
        }
        switch (command) {
            case "serve" -> serve();
            case "benchlink" ->
                    System.exit(
                            postgrade.simadapter.SimulatorAdapter.serve(
                                    System.in, System.out, System.err));
            case "rehearse" -> rehearse();
            default -> {
                System.err.println(
                        "usage: java -jar postgrade.jar serve|benchlink [--log-format=text|json]");
                System.exit(USAGE);
            }
        }
    }

    /** Plays one job through a dispatcher and ends, for the build's class-data archive. */
    private static void rehearse() throws IOException {
        try {
            Rehearsal.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static EventLogs.Format logFormat(String[] args) {
        if (args.length < 2) {
            return EventLogs.Format.TEXT;
        }
        if (args.length > 2 || !args[1].startsWith(LOG_FORMAT)) {
            throw new IllegalArgumentException("not understood: " + args[args.length - 1]);
        }
        return EventLogs.parseFormat(args[1].substring(LOG_FORMAT.length()));
    }

    /** Starts one dispatcher and returns while it serves; ends the process if it cannot start. */
    public static void serve() {
        // Guards the start: a signal that comes before there is a dispatcher waits for it. SIGHUP
        // would end the process, and
        // SIGTERM reset what waits in the backlog.
        CompletableFuture<Daemon> made = new CompletableFuture<>();
        heedSignals(made);
        int fault = 0;
        try {
            Config config = Config.read(System.getenv());
            Daemon daemon = new Daemon(config, ExtensionLoader.loadConfiguration(config));
            daemon.start();
            made.complete(daemon);
        } catch (Config.InvalidConfigException e) {
            System.err.println("postgrade: " + e.getMessage());
            fault = USAGE;
        } catch (IOException e) {
            System.err.println("postgrade: listen: " + e.getMessage());
            fault = 1;
        } finally {
            made.cancel(
                    false); // There is none, and nobody waits for it; without effect where there
            // is.
        }
        if (fault != 0) {
            System.exit(fault);
        }
    }

    private static void heedSignals(CompletableFuture<Daemon> made) {
        // Guards against the virtual machine's own way with SIGHUP, which is to end. No library of
        // the JDK's own names
        // signals but this one; it is part of the exported module jdk.unsupported.
        SignalHandler before =
                Signal.handle(new Signal("HUP"), signal -> made.thenAccept(Daemon::reload));
        if (before == SignalHandler.SIG_IGN) {
            // Guards the operators: the virtual machine leaves a signal ignored that was so when it
            // started, and says
            // nothing. A new configuration, discovery's new address with it, would never be heard
            // of.
            Events.warn(LoggerFactory.getLogger(Main.class), "configuration.signal-ignored")
                    .log(
                            "SIGHUP is ignored, as whoever started this process wanted it (nohup does); "
                                    + "the configuration cannot be read again until a start without that");
        }
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () ->
                                        made.handle(
                                                        (daemon, none) -> {
                                                            if (daemon != null) {
                                                                daemon.stop();
                                                            }
                                                            return null;
                                                        })
                                                .join(),
                                "stop"));
    }
}

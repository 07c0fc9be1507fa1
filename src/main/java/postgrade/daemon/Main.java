package postgrade.daemon;

import java.io.IOException;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import sun.misc.Signal;

/** The program: {@code serve} is one dispatcher on sockets, {@code benchlink} the simulator's adapter. */
public final class Main {

    private static final int USAGE = 2;

    private Main() { }

    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "benchlink" -> System.exit(postgrade.benchlink.Main.serve(System.in, System.out, System.err));
            default -> {
                System.err.println("usage: java -jar postgrade.jar serve|benchlink");
                System.exit(USAGE);
            }
        }
    }

    private static void serve() {
        logToStandardError();
        Daemon daemon;
        try {
            daemon = new Daemon(Config.read(System.getenv()));
        } catch (Config.Faulty e) {
            System.err.println("postgrade: " + e.getMessage());
            System.exit(USAGE);
            return;
        } catch (IOException e) {
            System.err.println("postgrade: listen: " + e.getMessage());
            System.exit(1);
            return;
        }
        // Guards against the virtual machine's own way with SIGHUP, which is to end. No library of the JDK's own names
        // signals but this one; it is part of the exported module jdk.unsupported.
        Signal.handle(new Signal("HUP"), signal -> daemon.reload());
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
        daemon.start();
    }

    private static void logToStandardError() {
        System.setProperty("java.util.logging.manager", KeptLogs.class.getName());
        for (Handler standard : Logger.getLogger("").getHandlers()) {
            Logger.getLogger("").removeHandler(standard);
        }
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new Formatter() {
            @Override
            public String format(LogRecord r) {
                String thrown = r.getThrown() == null ? "" : " (" + r.getThrown() + " at "
                        + (r.getThrown().getStackTrace().length == 0 ? "?" : r.getThrown().getStackTrace()[0]) + ")";
                return Instant.ofEpochMilli(r.getMillis()) + " " + r.getLevel() + " " + r.getMessage() + thrown + "\n";
            }
        });
        Logger.getLogger("").addHandler(handler);
    }

    /**
     * Keeps the handlers to the very end. Guards the log lines of an orderly stop: the ordinary log manager closes
     * its handlers in a shutdown hook of its own, while ours still waits for the loop.
     */
    public static final class KeptLogs extends LogManager {
        @Override
        public void reset() {
            // Nothing is configured by files here, so there is nothing to reset.
        }
    }
}

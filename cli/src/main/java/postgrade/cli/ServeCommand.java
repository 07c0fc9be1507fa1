package postgrade.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import postgrade.daemon.Main;

@Command(
        name = "serve",
        description = "Run one dispatcher, configured by the file that ROUTER_CONFIG names.",
        footer = {"", "SIGHUP reads the file again, SIGTERM stops in order."})
final class ServeCommand implements Callable<Integer> {

    /** Tells the program that the dispatcher's own threads keep it running. */
    static final int SERVING = -1;

    @Override
    public Integer call() {
        Main.serve();
        return SERVING;
    }
}

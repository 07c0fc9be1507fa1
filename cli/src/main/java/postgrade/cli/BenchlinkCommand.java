package postgrade.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import postgrade.benchlink.Main;

@Command(
        name = "benchlink",
        description = "Speak the simulator's wire on standard input and output.")
final class BenchlinkCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return Main.serve(System.in, System.out, System.err);
    }
}

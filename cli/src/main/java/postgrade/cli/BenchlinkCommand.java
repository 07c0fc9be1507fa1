package postgrade.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import postgrade.simadapter.SimulatorAdapter;

@Command(
        name = "benchlink",
        description = "Speak the simulator's wire on standard input and output.")
final class BenchlinkCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return SimulatorAdapter.serve(System.in, System.out, System.err);
    }
}

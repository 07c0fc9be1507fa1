package postgrade.simulation.model;

import java.util.ArrayList;
import java.util.List;
import postgrade.member.OutOfServicePart;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.simulation.check.Checks;

/**
 * Takes a worker out and puts it back, over any dispatcher, and repeats a call until it is
 * answered.
 */
final class Operator {

    private final World world;
    private final List<Dispatching> dispatchers;
    private final Checks checks;
    private final String worker;
    private String request;
    private boolean out;
    private int calls;
    private long era = 1;

    Operator(World world, String worker, List<Dispatching> dispatchers, Checks checks) {
        this.world = world;
        this.worker = worker;
        this.dispatchers = dispatchers;
        this.checks = checks;
        world.in(world.between(1_000_000, 5_000_000), this::next);
    }

    private void next() {
        request = worker + "-" + era + "-" + calls++;
        out = !out;
        checks.out.asked(worker);
        call();
    }

    private void call() {
        String is = request;
        Dispatching over = world.any(dispatchers);
        if (over.running()) {
            Command c =
                    out
                            ? OutOfServicePart.takeOutOfService(is, over.name(), 1, worker)
                            : OutOfServicePart.returnToService(is, over.name(), 1, worker);
            over.ask(c, a -> answered(is, a));
        }
        world.in(
                700_000,
                () -> {
                    if (is.equals(request)) {
                        call();
                    }
                });
    }

    private void answered(String of, Answer answer) {
        if (!of.equals(request)) {
            return;
        }
        if (answer.status() != Answer.Status.DONE) {
            checks.violation("operator's call %s was answered %s", of, answer);
        }
        request = null;
        checks.out.told(worker, out);
        world.in(
                world.between(500_000, 4_000_000),
                () -> {
                    if (request == null) {
                        next();
                    }
                });
    }

    /** Whatever was said in the former era is lost. */
    void newEra(long now) {
        era = now;
        out = false;
        request = null;
        checks.out.newEra();
        world.in(
                3_000_000,
                () -> {
                    if (request == null) {
                        next();
                    }
                });
    }

    static List<Operator> some(
            World world, int count, List<Dispatching> dispatchers, Checks checks) {
        List<Operator> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Operator(world, "w" + i, dispatchers, checks));
        }
        return all;
    }
}

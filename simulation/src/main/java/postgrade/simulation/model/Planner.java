package postgrade.simulation.model;

import java.util.List;
import postgrade.lease.LeasePart;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Row;

/**
 * Reserves accelerators, renews them through any dispatcher, and gives them back or dies, again and
 * again.
 */
final class Planner {

    static final List<String> HOLDERS = List.of("h0", "h1", "h2");

    private final World world;
    private final List<Dispatching> dispatchers;
    private final String holder;
    private long incarnation;
    private boolean lives;
    private long ttlMillis;
    private long wanted;
    private long fence;

    Planner(World world, String holder, List<Dispatching> dispatchers) {
        this.world = world;
        this.holder = holder;
        this.dispatchers = dispatchers;
        world.in(world.between(1_000_000, 4_000_000), this::begin);
    }

    private void begin() {
        incarnation++;
        lives = true;
        fence = 0;
        ttlMillis = world.between(2_000, 6_000);
        wanted = world.between(1, 3);
        long life = incarnation;
        beat(life);
        world.in(world.between(3_000_000, 20_000_000), () -> end(life));
    }

    private void beat(long life) {
        if (!lives || incarnation != life) {
            return;
        }
        world.in(ttlMillis * 1000 / 5, () -> beat(life));
        if (fence == 0) {
            ask("acquire", Row.EMPTY, a -> answered(life, a));
        } else {
            ask("renew", Row.of("fence", fence), a -> answered(life, a));
        }
    }

    private void answered(long life, Answer a) {
        if (incarnation == life) {
            fence = a.status() == Answer.Status.DONE ? a.fields().integer("fence", 0) : 0;
        }
    }

    private void ask(String verb, Row more, java.util.function.Consumer<Answer> done) {
        Dispatching over = world.any(dispatchers);
        if (over.running()) {
            Row args =
                    more.with(
                            "holder",
                            holder,
                            "site",
                            "s",
                            "accelerators",
                            wanted,
                            "ttlMs",
                            ttlMillis,
                            "incarnation",
                            incarnation);
            over.ask(new Command("", over.name(), 1, LeasePart.NAME, verb, args), done);
        }
    }

    private void end(long life) {
        if (incarnation == life) {
            if (fence != 0 && world.chance(0.5)) {
                ask("release", Row.of("fence", fence), a -> {});
            }
            lives = false;
            world.in(world.between(100_000, 5_000_000), this::begin);
        }
    }
}

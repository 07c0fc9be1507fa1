package postgrade.simulation.model;

import java.util.List;
import postgrade.lease.LeasePart;
import postgrade.shared.Command;
import postgrade.shared.Row;
import postgrade.window.CalendarPart;

/** Tells of the accelerators there are, and puts one calendar after another in force. */
final class Keeper {

    private final World world;
    private final List<Dispatching> dispatchers;
    private boolean open;

    Keeper(World world, List<Dispatching> dispatchers) {
        this.world = world;
        this.dispatchers = dispatchers;
        world.in(1_000_000, this::units);
        world.in(world.between(1_000_000, 4_000_000), this::calendar);
    }

    private void units() {
        world.in(3_000_000, this::units);
        for (String worker : Privileges.WORKERS) {
            ask(
                    LeasePart.NAME,
                    "unit",
                    Row.of(
                            "worker",
                            worker,
                            "site",
                            "s",
                            "kind",
                            "k",
                            "accelerators",
                            2,
                            "version",
                            1));
        }
    }

    private void calendar() {
        world.in(world.between(6_000_000, 30_000_000), this::calendar);
        open = !open;
        ask(
                CalendarPart.NAME,
                "put",
                Row.of("site", "s", "zone", "UTC", "text", open ? "open" : "closed"));
    }

    private void ask(String part, String verb, Row args) {
        Dispatching over = world.any(dispatchers);
        if (over.running()) {
            over.ask(new Command("", over.name(), 1, part, verb, args), a -> {});
        }
    }
}

package postgrade.upgrade;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** What the other processes were asked and have not answered yet. */
final class Asks {

    /** An ask that is not answered in this time counts as not heard. */
    static final long ASK_MICROS = 400_000;

    private final UpgradeCoordinator up;
    private final Map<Long, Consumer<Boolean>> asked = new HashMap<>();
    private long count;

    Asks(UpgradeCoordinator up) {
        this.up = up;
    }

    /** Asks all that serve. True once all have answered, false if one did not in time. */
    void askAll(JsonObject what, Consumer<Boolean> done) {
        int[] open = {0};
        boolean[] all = {true};
        for (Peer p : new ArrayList<>(up.peers)) {
            if (!p.serving) {
                p.send(
                        new JsonObject(what)
                                .add("ask", 0)); // Read before it serves; not waited for.
                continue;
            }
            open[0]++;
            long number = ++count;
            asked.put(
                    number,
                    heard -> {
                        all[0] &= heard;
                        if (--open[0] == 0) {
                            done.accept(all[0]);
                        }
                    });
            p.outstanding.add(number);
            up.timers.at(up.timers.nowMicros() + ASK_MICROS, () -> answered(p, number, false));
            p.send(new JsonObject(what).add("ask", number));
        }
        if (open[0] == 0) {
            done.accept(true);
        }
    }

    void answered(Peer p, long number, boolean heard) {
        p.outstanding.remove(number);
        Consumer<Boolean> waits = asked.remove(number);
        if (waits != null) {
            waits.accept(heard);
        }
    }
}

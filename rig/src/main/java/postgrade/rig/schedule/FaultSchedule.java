package postgrade.rig.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import postgrade.script.Module;
import postgrade.script.Script;
import postgrade.script.Sequence;
import postgrade.script.Values;
import postgrade.script.Values.HostObject;

/**
 * Faults with their times, read from a script: {@code seed}, and {@code steps}, a list of {@code
 * step(at, do, who)}. A step may count from an event ({@code after = "n1 leader"}) and be repeated
 * ({@code times}, {@code gap}, {@code jitter}); where {@code who} is a list, the seed draws one of
 * it each time. The same text always gives the same timetable.
 */
public final class FaultSchedule {

    private static final Set<String> ACTS =
            Set.of(
                    "kill",
                    "start",
                    "stop",
                    "resume",
                    "terminate",
                    "cut",
                    "cut_out",
                    "cut_back",
                    "delay",
                    "reset",
                    "stall",
                    "close_after",
                    "heal",
                    "isolate",
                    "wipe",
                    "flip",
                    "truncate",
                    "keep",
                    "roll_back");

    private record Drawn(
            double at,
            String act,
            List<String> who,
            String to,
            String event,
            double figure,
            int times,
            double gap,
            double jitter)
            implements HostObject {
        @Override
        public String typeName() {
            return "step";
        }

        @Override
        public Object attribute(String name) {
            return null;
        }
    }

    private final long seed;
    private final List<Step> steps = new ArrayList<>();

    private FaultSchedule(String name, Module m) {
        seed = m.global("seed") instanceof Long s ? s : 1;
        SplittableRandom random = new SplittableRandom(seed);
        if (!(m.global("steps") instanceof Sequence all)) {
            throw new IllegalArgumentException(name + ": steps: must be a list of step(...)");
        }
        for (Object o : all.toList()) {
            if (!(o instanceof Drawn d)) {
                throw new IllegalArgumentException(
                        name + ": steps: must hold step(...), not " + Values.type(o));
            }
            for (int i = 0; i < d.times; i++) {
                double at = d.at + i * d.gap + d.jitter * random.nextDouble();
                steps.add(
                        new Step(
                                Math.round(at * 1e6),
                                d.event,
                                d.act,
                                d.who.get(random.nextInt(d.who.size())),
                                d.to,
                                d.figure));
            }
        }
        steps.sort(Comparator.comparingLong(Step::micros));
    }

    public static FaultSchedule of(String name, String text) {
        return new FaultSchedule(
                name,
                Script.run(
                        name,
                        text,
                        Map.of(
                                "step",
                                Script.function(
                                        "step",
                                        "at do who to? after? figure? times? gap? jitter?",
                                        FaultSchedule::step)),
                        l -> {}));
    }

    public long seed() {
        return seed;
    }

    /**
     * In the order of their times; those that count from events stand among them by their count.
     */
    public List<Step> steps() {
        return List.copyOf(steps);
    }

    private static Object step(Object[] a) {
        String act = text("do", a[1]);
        if (!ACTS.contains(act)) {
            throw Script.error(
                    "do: there is no fault "
                            + act
                            + "; there are "
                            + String.join(", ", ACTS.stream().sorted().toList()));
        }
        List<String> who = new ArrayList<>();
        if (a[2] instanceof Sequence s) {
            s.toList().forEach(o -> who.add(text("who", o)));
        } else {
            who.add(text("who", a[2]));
        }
        if (who.isEmpty()) {
            throw Script.error("who must name somebody");
        }
        String event = a[4] == null ? "" : text("after", a[4]);
        if (!event.isEmpty() && event.split(" ").length != 2) {
            throw Script.error(
                    "after must be a process and an event, such as \"n1 leader\", not "
                            + Values.repr(event));
        }
        return new Drawn(
                number("at", a[0], 0),
                act,
                List.copyOf(who),
                a[3] == null ? "" : text("to", a[3]),
                event,
                number("figure", a[5], 0),
                (int) Math.max(1, number("times", a[6], 1)),
                number("gap", a[7], 0),
                number("jitter", a[8], 0));
    }

    private static double number(String key, Object v, double absent) {
        double d =
                v == null
                        ? absent
                        : v instanceof Long n ? n : v instanceof Double x ? x : Double.NaN;
        if (!(d >= 0 && d < 1e9)) {
            throw Script.error(key + " must be a number from 0 on, not " + Values.repr(v));
        }
        return d;
    }

    private static String text(String key, Object v) {
        if (v instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw Script.error(key + " must be a string, not " + Values.repr(v));
    }
}

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
 * Faults and their times, read from a script: {@code seed}, and {@code steps}, a list of {@code
 * step(at, do, who)}. A step may be relative to an event ({@code after = "n1 leader"}) and may
 * repeat ({@code times}, {@code gap}, {@code jitter}); if {@code who} is a list, the seed draws one
 * of its members each time. The same text always gives the same schedule.
 */
public final class FaultSchedule {

    private static final Set<String> ACTIONS =
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

    private record StepTemplate(
            double at,
            String action,
            List<String> targets,
            String to,
            String event,
            double amount,
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

    private FaultSchedule(String name, Module module) {
        seed = module.global("seed") instanceof Long s ? s : 1;
        SplittableRandom random = new SplittableRandom(seed);
        if (!(module.global("steps") instanceof Sequence all)) {
            throw new IllegalArgumentException(name + ": steps: must be a list of step(...)");
        }
        for (Object item : all.toList()) {
            if (!(item instanceof StepTemplate template)) {
                throw new IllegalArgumentException(
                        name + ": steps: must hold step(...), not " + Values.type(item));
            }
            for (int i = 0; i < template.times; i++) {
                double at = template.at + i * template.gap + template.jitter * random.nextDouble();
                steps.add(
                        new Step(
                                Math.round(at * 1e6),
                                template.event,
                                template.action,
                                template.targets.get(random.nextInt(template.targets.size())),
                                template.to,
                                template.amount));
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
     * Returns the steps sorted by time; a step that is relative to an event is sorted by its offset
     * from it.
     */
    public List<Step> steps() {
        return List.copyOf(steps);
    }

    private static Object step(Object[] arguments) {
        String action = text("do", arguments[1]);
        if (!ACTIONS.contains(action)) {
            throw Script.error(
                    "do: there is no fault "
                            + action
                            + "; there are "
                            + String.join(", ", ACTIONS.stream().sorted().toList()));
        }
        List<String> targets = new ArrayList<>();
        if (arguments[2] instanceof Sequence s) {
            s.toList().forEach(o -> targets.add(text("who", o)));
        } else {
            targets.add(text("who", arguments[2]));
        }
        if (targets.isEmpty()) {
            throw Script.error("who must name at least one process");
        }
        String event = arguments[4] == null ? "" : text("after", arguments[4]);
        if (!event.isEmpty() && event.split(" ").length != 2) {
            throw Script.error(
                    "after must be a process and an event, such as \"n1 leader\", not "
                            + Values.repr(event));
        }
        return new StepTemplate(
                number("at", arguments[0], 0),
                action,
                List.copyOf(targets),
                arguments[3] == null ? "" : text("to", arguments[3]),
                event,
                number("figure", arguments[5], 0),
                (int) Math.max(1, number("times", arguments[6], 1)),
                number("gap", arguments[7], 0),
                number("jitter", arguments[8], 0));
    }

    private static double number(String key, Object value, double defaultValue) {
        double number =
                value == null
                        ? defaultValue
                        : value instanceof Long n ? n : value instanceof Double x ? x : Double.NaN;
        if (!(number >= 0 && number < 1e9)) {
            throw Script.error(key + " must be a number from 0 on, not " + Values.repr(value));
        }
        return number;
    }

    private static String text(String key, Object value) {
        if (value instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw Script.error(key + " must be a string, not " + Values.repr(value));
    }
}

package postgrade.lab.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Looks for the highest rate at which a level of service is kept: doubles the speed until it is
 * broken, then halves the interval. A broken step is tried once more, since one unlucky burst
 * proves nothing.
 */
public final class Search {

    /** One replay of the search. */
    public record Step(double speed, double rate, boolean kept, String reached) {}

    /**
     * @param highest the last step that kept the level, or null if even the first broke it
     */
    public record Found(Step highest, List<Step> steps) {}

    private static final int PAUSE_MS = 1500;

    private Search() {}

    /**
     * Runs it.
     *
     * @param base what each step replays; its speed is the first that is tried
     * @param seconds the length of a step
     * @param narrow ends once the interval is within this part of the speed, 0.05 for 5%
     */
    public static Found run(
            ReplayOptions base,
            Level level,
            double seconds,
            double narrow,
            java.util.function.Consumer<String> tell)
            throws IOException, InterruptedException {
        Path folder = base.folder;
        List<Step> steps = new ArrayList<>();
        double low = 0;
        double high = Double.POSITIVE_INFINITY;
        double speed = base.speed;
        Step highest = null;
        while (high / Math.max(low, 1e-9) > 1 + narrow && steps.size() < 30) {
            Step step = step(base, folder, level, speed, seconds, steps);
            tell.accept(told(step));
            if (!step.kept) {
                step = step(base, folder, level, speed, seconds, steps);
                tell.accept(told(step));
            }
            if (step.kept) {
                low = speed;
                highest = step;
            } else {
                high = speed;
            }
            speed = Double.isInfinite(high) ? speed * 2 : low == 0 ? speed / 2 : (low + high) / 2;
            if (speed < base.speed / 1000) {
                break;
            }
        }
        base.folder = folder;
        return new Found(highest, steps);
    }

    private static String told(Step s) {
        return String.format(
                Locale.ROOT,
                "speed %.3f, %.1f a second: %s (%s)",
                s.speed,
                s.rate,
                s.kept ? "kept" : "broken",
                s.reached);
    }

    private static Step step(
            ReplayOptions base,
            Path folder,
            Level level,
            double speed,
            double seconds,
            List<Step> steps)
            throws IOException, InterruptedException {
        base.folder = folder.resolve("step" + (steps.size() + 1));
        base.speed = speed;
        base.mostMicros = (long) (seconds * 1e6);
        base.seed++; // Fresh ids: a dispatcher may still hold those of the step before.
        ReplayResult r = Replay.run(base);
        base.rehearsalSeconds = 0; // The first step has warmed the machine up for all.
        double took = Math.max(0.001, Math.min(seconds, r.seconds()));
        Step step =
                new Step(
                        speed,
                        (r.sent.sum() + r.unsent.sum()) / took,
                        level.keptBy(r),
                        level.reached(r));
        steps.add(step);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS); // What the step has left behind is done with.
        return step;
    }
}

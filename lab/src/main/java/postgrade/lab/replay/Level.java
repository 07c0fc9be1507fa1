package postgrade.lab.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A level of service that a replay keeps or not: {@code p95<800ms,served>99%}. */
public final class Level {

    private static final Pattern TERM =
            Pattern.compile(
                    "\\s*(?:p([0-9]{1,2}(?:\\.[0-9]+)?)\\s*<\\s*([0-9.]+)\\s*(ms|s)|served\\s*>\\s*([0-9.]+)\\s*%)\\s*");

    /** One bound; a percentile of 0 stands for the part served. */
    private record Bound(double percentile, double limit) {}

    private final String text;
    private final List<Bound> bounds = new ArrayList<>();

    private Level(String text) {
        this.text = text;
    }

    /**
     * @throws IllegalArgumentException that names the term
     */
    public static Level of(String text) {
        Level level = new Level(text);
        for (String term : text.split(",")) {
            Matcher m = TERM.matcher(term);
            if (!m.matches()) {
                throw new IllegalArgumentException(
                        "--level: " + term + " is neither pN<TIME nor served>N%");
            }
            level.bounds.add(
                    m.group(4) != null
                            ? new Bound(0, Double.parseDouble(m.group(4)))
                            : new Bound(
                                    Double.parseDouble(m.group(1)),
                                    Double.parseDouble(m.group(2))
                                            * (m.group(3).equals("s") ? 1000 : 1)));
        }
        return level;
    }

    /** Whether a replay kept it; what never left counts as not served. */
    public boolean keptBy(ReplayResult r) {
        for (Bound b : bounds) {
            if (b.percentile == 0
                    ? servedPercent(r) <= b.limit
                    : r.latency.getValueAtPercentile(b.percentile) / 1000.0 >= b.limit) {
                return false;
            }
        }
        return true;
    }

    static double servedPercent(ReplayResult r) {
        long all = r.sent.sum() + r.unsent.sum();
        return all == 0 ? 0 : 100.0 * r.served.sum() / all;
    }

    /** What a replay reached, in the words of the level. */
    public String reached(ReplayResult r) {
        StringBuilder s = new StringBuilder();
        for (Bound b : bounds) {
            s.append(s.length() == 0 ? "" : ", ")
                    .append(
                            b.percentile == 0
                                    ? String.format(Locale.ROOT, "served %.2f%%", servedPercent(r))
                                    : String.format(
                                            Locale.ROOT,
                                            "p%s %.1f ms",
                                            b.percentile == Math.rint(b.percentile)
                                                    ? "" + (int) b.percentile
                                                    : "" + b.percentile,
                                            r.latency.getValueAtPercentile(b.percentile) / 1000.0));
        }
        return s.toString();
    }

    @Override
    public String toString() {
        return text;
    }
}

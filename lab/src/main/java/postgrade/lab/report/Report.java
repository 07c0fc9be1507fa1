package postgrade.lab.report;

import gg.jte.ContentType;
import gg.jte.TemplateEngine;
import gg.jte.output.StringOutput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import postgrade.fleet.check.RuleChecker;
import postgrade.lab.report.Charts.Line;
import postgrade.lab.tables.RunData;
import postgrade.lab.tables.RunData.End;
import postgrade.lab.tables.RunData.Row;
import postgrade.lab.tables.RunTables;
import postgrade.lab.tables.RunTables.Second;

/** Writes the page of one run, or of two side by side: one file that needs no network. */
public final class Report {

    /** One line of a table: a name, and texts for its cells. */
    public record TableRow(String name, List<String> cells) {}

    /** One chart with its heading and what it shows. */
    public record Figure(String title, String svg, String caption) {}

    /** All that the template shows of a run. */
    public static final class Page {
        public String title;
        public String made;
        public List<String> facts = new ArrayList<>();
        public List<Figure> figures = new ArrayList<>();
        public List<String> endColumns = new ArrayList<>();
        public List<TableRow> byClass = new ArrayList<>();
        public List<TableRow> byTenant = new ArrayList<>();
        public List<TableRow> latency = new ArrayList<>();
        public List<TableRow> rules = new ArrayList<>();
        public List<String> breaches = new ArrayList<>();
        public List<TableRow> compared = new ArrayList<>();
        public List<String> comparedColumns = List.of();
        public boolean judged;
        public boolean clean;
    }

    private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9};
    private static final int MOST_BREACHES = 20;
    private static final long MOST_MICROS = 600_000_000;

    private Report() {}

    /**
     * Writes {@code report.html} into the run's folder, and its tables, and returns the page's
     * path.
     */
    public static Path write(Path folder) throws IOException {
        RunData run = RunData.read(folder);
        RunTables.write(run);
        Page page = page(run);
        return write(folder.resolve("report.html"), page);
    }

    /** Writes a page that sets two runs side by side. */
    public static Path compare(Path a, Path b, Path out) throws IOException {
        RunData first = RunData.read(a);
        RunData second = RunData.read(b);
        Page page = new Page();
        page.title = "Two runs: " + a.getFileName() + " and " + b.getFileName();
        page.made = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
        page.comparedColumns =
                List.of(a.getFileName().toString(), b.getFileName().toString(), "difference");
        compareRows(page, first, second);
        List<Line> rate = new ArrayList<>();
        List<Line> curves = new ArrayList<>();
        for (RunData run : List.of(first, second)) {
            String name = run.folder.getFileName().toString();
            rate.add(total(name + " served", run, s -> (double) s.served));
            curves.add(curve(name, run.rows));
        }
        page.figures.add(
                new Figure("Served over time", Charts.lines("s", "a second", false, rate), ""));
        page.figures.add(
                new Figure(
                        "Latency by percentile",
                        Charts.lines("1 / (1 - percentile), log10", "ms", true, curves),
                        "0 is the least, 1 is p90, 2 is p99, 3 is p99.9."));
        return write(out, page);
    }

    private static Path write(Path out, Page page) throws IOException {
        StringOutput html = new StringOutput();
        TemplateEngine.createPrecompiled(null, ContentType.Html, null, "postgrade.lab.templates")
                .render("report/run.jte", page, html);
        Files.writeString(out, html.toString());
        return out;
    }

    private static Page page(RunData run) throws IOException {
        Page page = new Page();
        page.title = "Run " + run.folder.getFileName();
        page.made = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
        long sent = run.rows.stream().filter(r -> r.sent() >= 0).count();
        page.facts.add(
                String.format(
                        Locale.ROOT,
                        "%d requests due in %.1f s, %d sent (%.1f a second), %d served",
                        run.rows.size(),
                        run.seconds(),
                        sent,
                        sent / Math.max(0.001, run.seconds()),
                        count(run, End.SERVED)));
        page.facts.add("replayed: " + run.began);
        run.faults.forEach(
                f ->
                        page.facts.add(
                                String.format(
                                        Locale.ROOT,
                                        "at %.1f s: fault %s %s",
                                        (f.micros() - run.startMicros) / 1e6,
                                        f.party(),
                                        f.detail())));
        for (End e : End.values()) {
            page.endColumns.add(e.name().toLowerCase(Locale.ROOT).replace('_', ' '));
        }
        ends(page.byClass, RunTables.ends(run, Row::jobClass));
        ends(page.byTenant, RunTables.ends(run, r -> r.tenant() == null ? "-" : r.tenant()));
        latencies(page, run);
        rules(page, run);
        figures(page, run);
        return page;
    }

    private static long count(RunData run, End end) {
        return run.rows.stream().filter(r -> r.end() == end).count();
    }

    private static void ends(List<TableRow> to, Map<String, Map<End, Long>> counts) {
        counts.forEach(
                (name, by) -> {
                    List<String> cells = new ArrayList<>();
                    long all = by.values().stream().mapToLong(n -> n).sum();
                    for (End e : End.values()) {
                        cells.add(Long.toString(by.getOrDefault(e, 0L)));
                    }
                    cells.add(Long.toString(all));
                    cells.add(
                            String.format(
                                    Locale.ROOT,
                                    "%.2f%%",
                                    100.0 * by.getOrDefault(End.SERVED, 0L) / all));
                    to.add(new TableRow(name, cells));
                });
    }

    private static Histogram histogram(List<Row> rows) {
        Histogram h = new Histogram(MOST_MICROS, 3);
        rows.stream()
                .filter(r -> r.end() == End.SERVED)
                .forEach(r -> h.recordValue(Math.max(0, Math.min(MOST_MICROS, r.latency()))));
        return h;
    }

    private static void latencies(Page page, RunData run) {
        Map<String, List<Row>> by = new TreeMap<>();
        run.rows.forEach(r -> by.computeIfAbsent(r.jobClass(), c -> new ArrayList<>()).add(r));
        by.put("all", run.rows);
        by.forEach(
                (name, rows) -> {
                    Histogram h = histogram(rows);
                    List<String> cells = new ArrayList<>();
                    for (double p : PERCENTILES) {
                        cells.add(ms(h.getTotalCount() == 0 ? -1 : h.getValueAtPercentile(p)));
                    }
                    cells.add(ms(h.getTotalCount() == 0 ? -1 : h.getMaxValue()));
                    page.latency.add(new TableRow(name, cells));
                });
    }

    private static String ms(long micros) {
        return micros < 0 ? "-" : String.format(Locale.ROOT, "%.1f", micros / 1000.0);
    }

    private static void rules(Page page, RunData run) throws IOException {
        page.judged = Files.exists(run.folder.resolve("workers.ledger"));
        if (!page.judged) {
            return;
        }
        RuleChecker.Verdict v = RuleChecker.judge(run.folder);
        page.clean = v.violations.isEmpty();
        v.byRule()
                .forEach(
                        (rule, n) ->
                                page.rules.add(
                                        new TableRow(rule.meaning, List.of(Long.toString(n)))));
        v.violations.stream()
                .limit(MOST_BREACHES)
                .forEach(
                        b ->
                                page.breaches.add(
                                        String.format(
                                                Locale.ROOT,
                                                "%.3f s %s %s: %s",
                                                (b.micros() - run.startMicros) / 1e6,
                                                b.rule(),
                                                b.id(),
                                                b.what())));
        page.facts.add(
                v.attempts
                        + " attempts at workers, "
                        + v.drainsTold
                        + " words of leaving workers, "
                        + v.restarts
                        + " restarts");
    }

    // ---- Figures.

    private static Line total(String name, RunData run, Function<Second, Double> of) {
        TreeMap<Integer, Double> sums = new TreeMap<>();
        RunTables.seconds(run)
                .values()
                .forEach(
                        seconds ->
                                seconds.forEach((s, c) -> sums.merge(s, of.apply(c), Double::sum)));
        Line line = new Line(name);
        for (int s = 0; !sums.isEmpty() && s <= sums.lastKey(); s++) {
            line.add(s, sums.getOrDefault(s, 0.0));
        }
        return line;
    }

    /** Percentiles, with the tail drawn wide: x is the number of nines. */
    private static Line curve(String name, List<Row> rows) {
        Histogram h = histogram(rows);
        Line line = new Line(name);
        if (h.getTotalCount() > 0) {
            double most = Math.min(4, Math.log10(Math.max(10, h.getTotalCount())));
            for (double x = 0; x <= most; x += 0.05) {
                line.add(x, h.getValueAtPercentile(100 * (1 - Math.pow(10, -x))) / 1000.0);
            }
        }
        return line;
    }

    private static void figures(Page page, RunData run) throws IOException {
        page.figures.add(
                new Figure(
                        "Rate over time",
                        Charts.lines(
                                "s",
                                "a second",
                                false,
                                List.of(
                                        total("due", run, s -> (double) s.offered),
                                                total("served", run, s -> (double) s.served),
                                        total("refused", run, s -> (double) s.refused),
                                                total("failed", run, s -> (double) s.failed))),
                        "Due counts by the intended time, the rest by the time of the answer."));
        List<Line> over = new ArrayList<>();
        for (double p : new double[] {50, 95, 99}) {
            Line line = new Line("p" + (int) p);
            Map<Integer, Histogram> merged = new TreeMap<>();
            RunTables.seconds(run)
                    .values()
                    .forEach(
                            seconds ->
                                    seconds.forEach(
                                            (s, c) ->
                                                    merged.computeIfAbsent(
                                                                    s,
                                                                    k ->
                                                                            new Histogram(
                                                                                    MOST_MICROS, 2))
                                                            .add(c.latency)));
            merged.forEach(
                    (s, h) ->
                            line.add(
                                    s,
                                    h.getTotalCount() == 0
                                            ? Double.NaN
                                            : h.getValueAtPercentile(p) / 1000.0));
            over.add(line);
        }
        page.figures.add(
                new Figure(
                        "Latency over time",
                        Charts.lines("s", "ms", true, over),
                        "Of those served, from the intended time to the last byte of the answer."));
        Map<String, List<Row>> byClass = new TreeMap<>();
        run.rows.forEach(r -> byClass.computeIfAbsent(r.jobClass(), c -> new ArrayList<>()).add(r));
        List<Line> curves = new ArrayList<>();
        byClass.forEach((c, rows) -> curves.add(curve(c, rows)));
        page.figures.add(
                new Figure(
                        "Latency by percentile",
                        Charts.lines("nines", "ms", true, curves),
                        "0 is the least, 1 is p90, 2 is p99, 3 is p99.9."));
        List<Line> refusals = new ArrayList<>();
        TreeMap<String, TreeMap<Integer, Double>> byTenant = new TreeMap<>();
        int last = (int) run.seconds();
        for (Row r : run.rows) {
            if (r.end() == End.REFUSED) {
                byTenant.computeIfAbsent(
                                r.tenant() == null ? "-" : r.tenant(), t -> new TreeMap<>())
                        .merge((int) (r.answered() / 1_000_000), 1.0, Double::sum);
            }
        }
        byTenant.forEach(
                (t, counts) -> {
                    Line line = new Line(t);
                    for (int s = 0; s <= last; s++) {
                        line.add(s, counts.getOrDefault(s, 0.0));
                    }
                    refusals.add(line);
                });
        if (!refusals.isEmpty()) {
            page.figures.add(
                    new Figure(
                            "Refusals by tenant",
                            Charts.lines("s", "a second", false, refusals),
                            ""));
        }
        Map<String, Double> shares = new LinkedHashMap<>();
        long all = run.attemptsByWorker.values().stream().mapToLong(n -> n).sum();
        if (run.attemptsByWorker.size() <= 60) {
            run.attemptsByWorker.forEach((w, n) -> shares.put(w, 100.0 * n / all));
        }
        if (!shares.isEmpty()) {
            page.figures.add(
                    new Figure(
                            "Workers' shares of attempts",
                            Charts.bars("%", Map.of("share", shares)),
                            ""));
        }
    }

    // ---- Two runs.

    private static void compareRows(Page page, RunData a, RunData b) {
        number(page, "requests due", a.rows.size(), b.rows.size(), "%.0f");
        for (End e : End.values()) {
            number(
                    page,
                    e.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    count(a, e),
                    count(b, e),
                    "%.0f");
        }
        number(
                page,
                "served, %",
                100.0 * count(a, End.SERVED) / Math.max(1, a.rows.size()),
                100.0 * count(b, End.SERVED) / Math.max(1, b.rows.size()),
                "%.2f");
        for (double p : PERCENTILES) {
            number(
                    page,
                    "latency p" + (p == Math.rint(p) ? "" + (int) p : "" + p) + ", ms",
                    histogram(a.rows).getValueAtPercentile(p) / 1000.0,
                    histogram(b.rows).getValueAtPercentile(p) / 1000.0,
                    "%.1f");
        }
    }

    private static void number(Page page, String name, double a, double b, String format) {
        page.compared.add(
                new TableRow(
                        name,
                        List.of(
                                String.format(Locale.ROOT, format, a),
                                String.format(Locale.ROOT, format, b),
                                (b >= a ? "+" : "") + String.format(Locale.ROOT, format, b - a))));
    }
}

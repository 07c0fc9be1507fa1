package postgrade.sharing.window;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.window.Deadline;
import postgrade.window.StartPlan;
import postgrade.window.WindowConstraints;

/**
 * Reads a job's own plan from its headers. The limits that operators set for its class apply in
 * addition.
 */
final class PlanHeaders implements ExtensionHeaders {

    private static final String EARLIEST = "X-Window-Earliest";
    private static final String DEADLINE = "X-Window-Deadline";
    private static final String LASTS = "X-Window-Lasts";
    private static final String SITES = "X-Window-Sites";
    private static final Set<String> NAMES =
            Set.of("x-window-earliest", "x-window-deadline", "x-window-lasts", "x-window-sites");

    /** Java's number parsers accept other forms too, which this pattern rejects. */
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,18})([mu])");

    private static final Pattern TIME_AND_ZONE =
            Pattern.compile("([0-9]{2}:[0-9]{2}(?::[0-9]{2})?) ([!-~]{1,64})");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long ANY_TIME = 0;

    private final Set<String> knownSites;
    private final WindowConstraints constraints;
    private final LongSupplier unixMillis;

    PlanHeaders(WindowSettings settings, WindowConstraints constraints, LongSupplier unixMillis) {
        knownSites = settings.allSites();
        this.constraints = constraints;
        this.unixMillis = unixMillis;
    }

    @Override
    public Set<String> names() {
        return NAMES;
    }

    @Override
    public Consumer<String> read(String jobClass, UnaryOperator<String> value) {
        StartPlan plan =
                NAMES.stream().allMatch(n -> value.apply(n) == null) ? null : plan(jobClass, value);
        return id -> constraints.setPlan(id, plan);
    }

    private StartPlan plan(String jobClass, UnaryOperator<String> value) {
        long now = unixMillis.getAsLong();
        StartPlan classPlan = constraints.planForClass(now, jobClass);
        String from = value.apply("x-window-earliest");
        // Not the current time: the policy reads the clock again when it receives the job, and the
        // clock may have been set back in between.
        long earliest = from == null ? ANY_TIME : parseInstant(EARLIEST, from);
        String until = value.apply("x-window-deadline");
        long deadline =
                until == null
                        ? Long.MAX_VALUE
                        : parseDeadline(until, from == null ? now : earliest);
        long lasts = parseDuration(value.apply("x-window-lasts"), classPlan);
        List<String> sites = parseSites(value.apply("x-window-sites"), classPlan);
        if (classPlan != null) {
            earliest =
                    Math.max(
                            earliest,
                            classPlan.earliestStart() > now ? classPlan.earliestStart() : ANY_TIME);
            deadline = Math.min(deadline, classPlan.deadline());
            lasts = Math.max(lasts, classPlan.durationMillis());
        }
        return new StartPlan(earliest, deadline, lasts, sites);
    }

    private static IllegalArgumentException invalid(String header, String problem) {
        return new IllegalArgumentException(header + " " + problem);
    }

    private static long parseInstant(String header, String text) {
        try {
            long millis = Instant.parse(text).toEpochMilli();
            new StartPlan(millis, millis, 0, List.of()); // Checks the bounds.
            return millis;
        } catch (DateTimeException | ArithmeticException | IllegalArgumentException e) {
            throw invalid(
                    header,
                    "has to be an instant such as 2026-12-02T06:00:00Z"
                            + (header.equals(DEADLINE)
                                    ? ", or a time and its zone such as 18:00 Europe/Zagreb"
                                    : ""));
        }
    }

    private static long parseDeadline(String text, long earliest) {
        Matcher local = TIME_AND_ZONE.matcher(text);
        if (!local.matches()) {
            return parseInstant(DEADLINE, text);
        }
        try {
            return new Deadline.Daily(
                            LocalTime.parse(local.group(1)), ZoneId.of(local.group(2)).getRules())
                    .resolveMillis(earliest);
        } catch (DateTimeException e) {
            throw invalid(DEADLINE, "has no such time or zone: " + e.getMessage());
        }
    }

    private static long parseDuration(String text, StartPlan classPlan) {
        if (text == null && classPlan != null) {
            return classPlan.durationMillis();
        }
        Matcher m = text == null ? null : DURATION.matcher(text);
        if (m == null || !m.matches()) {
            throw invalid(
                    LASTS,
                    text == null
                            ? "is missing, and the class has no windows"
                            : "has to be a whole number with the unit m or u, such as 90000m");
        }
        long number = Long.parseLong(m.group(1));
        // Rounded up: the job must have ended in time.
        long millis =
                m.group(2).equals("m")
                        ? number
                        : number / MICROS_PER_MILLI + (number % MICROS_PER_MILLI == 0 ? 0 : 1);
        if (millis > StartPlan.MAX_DURATION_MILLIS) {
            throw invalid(LASTS, "must not be longer than " + StartPlan.MAX_DURATION_MILLIS + "m");
        }
        return millis;
    }

    private List<String> parseSites(String text, StartPlan classPlan) {
        if (text == null && classPlan != null) {
            return classPlan.sites();
        }
        if (text == null) {
            throw invalid(SITES, "is missing, and the class has no windows");
        }
        List<String> sites = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            String site = part.strip();
            if (!knownSites.contains(site) || sites.contains(site)) {
                throw invalid(
                        SITES,
                        sites.contains(site)
                                ? "names " + site + " twice"
                                : "names \"" + site + "\", which is no site here");
            }
            if (classPlan != null && !classPlan.sites().contains(site)) {
                throw invalid(SITES, "names " + site + ", where jobs of this class may not run");
            }
            sites.add(site);
        }
        return sites;
    }
}

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
 * Reads a job's own plan from its headers. What operators set for its class binds it all the same.
 */
final class PlanHeaders implements ExtensionHeaders {

    private static final String EARLIEST = "X-Window-Earliest";
    private static final String DEADLINE = "X-Window-Deadline";
    private static final String LASTS = "X-Window-Lasts";
    private static final String SITES = "X-Window-Sites";
    private static final Set<String> NAMES =
            Set.of("x-window-earliest", "x-window-deadline", "x-window-lasts", "x-window-sites");

    /** Guards against what Java takes for a number besides. */
    private static final Pattern LENGTH = Pattern.compile("([0-9]{1,18})([mu])");

    private static final Pattern LOCAL =
            Pattern.compile("([0-9]{2}:[0-9]{2}(?::[0-9]{2})?) ([!-~]{1,64})");
    private static final long MICROS = 1_000;
    private static final long ANY_TIME = 0;

    private final Set<String> known;
    private final WindowConstraints ability;
    private final LongSupplier unixMillis;

    PlanHeaders(WindowSettings settings, WindowConstraints ability, LongSupplier unixMillis) {
        known = settings.sites();
        this.ability = ability;
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
        return id -> ability.setPlan(id, plan);
    }

    private StartPlan plan(String jobClass, UnaryOperator<String> value) {
        long now = unixMillis.getAsLong();
        StartPlan ofClass = ability.planForClass(now, jobClass);
        String from = value.apply("x-window-earliest");
        // Not now, as the module hears of the job by another look at the clock, which may be set
        // back between.
        long earliest = from == null ? ANY_TIME : instant(EARLIEST, from);
        String until = value.apply("x-window-deadline");
        long deadline =
                until == null ? Long.MAX_VALUE : deadline(until, from == null ? now : earliest);
        long lasts = lasts(value.apply("x-window-lasts"), ofClass);
        List<String> sites = sites(value.apply("x-window-sites"), ofClass);
        if (ofClass != null) {
            earliest =
                    Math.max(
                            earliest,
                            ofClass.earliestStart() > now ? ofClass.earliestStart() : ANY_TIME);
            deadline = Math.min(deadline, ofClass.deadline());
            lasts = Math.max(lasts, ofClass.durationMillis());
        }
        return new StartPlan(earliest, deadline, lasts, sites);
    }

    private static IllegalArgumentException bad(String header, String what) {
        return new IllegalArgumentException(header + " " + what);
    }

    private static long instant(String header, String text) {
        try {
            long millis = Instant.parse(text).toEpochMilli();
            new StartPlan(millis, millis, 0, List.of()); // Its bounds.
            return millis;
        } catch (DateTimeException | ArithmeticException | IllegalArgumentException e) {
            throw bad(
                    header,
                    "has to be an instant such as 2026-12-02T06:00:00Z"
                            + (header.equals(DEADLINE)
                                    ? ", or a time and its zone such as 18:00 Europe/Zagreb"
                                    : ""));
        }
    }

    private static long deadline(String text, long earliest) {
        Matcher local = LOCAL.matcher(text);
        if (!local.matches()) {
            return instant(DEADLINE, text);
        }
        try {
            return new Deadline.Daily(
                            LocalTime.parse(local.group(1)), ZoneId.of(local.group(2)).getRules())
                    .resolveMillis(earliest);
        } catch (DateTimeException e) {
            throw bad(DEADLINE, "has no such time or zone: " + e.getMessage());
        }
    }

    private static long lasts(String text, StartPlan ofClass) {
        if (text == null && ofClass != null) {
            return ofClass.durationMillis();
        }
        Matcher m = text == null ? null : LENGTH.matcher(text);
        if (m == null || !m.matches()) {
            throw bad(
                    LASTS,
                    text == null
                            ? "is missing, and the class has no windows"
                            : "has to be a whole number with the unit m or u, such as 90000m");
        }
        long number = Long.parseLong(m.group(1));
        // Rounded up: it must have ended in time.
        long millis =
                m.group(2).equals("m") ? number : number / MICROS + (number % MICROS == 0 ? 0 : 1);
        if (millis > StartPlan.MAX_DURATION_MILLIS) {
            throw bad(LASTS, "must not be longer than " + StartPlan.MAX_DURATION_MILLIS + "m");
        }
        return millis;
    }

    private List<String> sites(String text, StartPlan ofClass) {
        if (text == null && ofClass != null) {
            return ofClass.sites();
        }
        if (text == null) {
            throw bad(SITES, "is missing, and the class has no windows");
        }
        List<String> sites = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            String site = part.strip();
            if (!known.contains(site) || sites.contains(site)) {
                throw bad(
                        SITES,
                        sites.contains(site)
                                ? "names " + site + " twice"
                                : "names \"" + site + "\", which is no site here");
            }
            if (ofClass != null && !ofClass.sites().contains(site)) {
                throw bad(SITES, "names " + site + ", where jobs of this class may not run");
            }
            sites.add(site);
        }
        return sites;
    }
}

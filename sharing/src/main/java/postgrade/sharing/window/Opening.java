package postgrade.sharing.window;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.calendar.CalendarLoader;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.extension.Host;
import postgrade.log.Events;
import postgrade.policy.api.JobConstraints;
import postgrade.shared.ReplicatedState;
import postgrade.window.CalendarLookup;
import postgrade.window.CalendarRegistry;
import postgrade.window.DurationHistograms;
import postgrade.window.InvalidCalendarException;
import postgrade.window.SiteCalendar;
import postgrade.window.WindowConstraints;

/**
 * Start windows beside a dispatcher. Calendars are worked out aside, as a large one takes a while.
 */
public final class Opening {

    private static final Logger LOG = LoggerFactory.getLogger(Opening.class);

    /** Whoever hears of a new calendar later has to know by this that its view is too old. */
    private static final long MOST_VIEW_AGE_MICROS = 5_000_000;

    private final Host host;
    private final ReplicatedState sharing;
    private final Executor aside;
    private final WindowSettings settings;
    private final CalendarRegistry calendars = new CalendarRegistry(MOST_VIEW_AGE_MICROS);
    private final DurationHistograms lengths = new DurationHistograms();
    private final WindowConstraints ability;
    private final Set<String> underWay = new HashSet<>();

    public Opening(Host host, ReplicatedState sharing, Executor aside, WindowSettings settings) {
        this.host = host;
        this.sharing = sharing;
        this.aside = aside;
        this.settings = settings;
        settings.classes()
                .forEach(
                        c -> {
                            if (host.settings().classes.stream()
                                    .noneMatch(k -> k.name().equals(c.name()))) {
                                throw new IllegalArgumentException(
                                        "windows: there is no class " + c.name());
                            }
                        });
        ability =
                new WindowConstraints(
                        settings.classes(),
                        new WindowConstraints.SiteMapping(
                                settings.sitesByKind(), settings.sitesByZone()),
                        calendars,
                        lengths,
                        settings.clockErrorMillis(),
                        host.name().hashCode());
        tick();
    }

    public JobConstraints ability() {
        return ability;
    }

    /** The headers by which a job brings a plan of its own; null where no windows are set. */
    public ExtensionHeaders claims() {
        return settings.any() ? new PlanHeaders(settings, ability, host.unixMillis()) : null;
    }

    public CalendarLookup calendars() {
        return calendars;
    }

    public WindowSettings settings() {
        return settings;
    }

    /**
     * How long jobs of this class are to be taken to last, in milliseconds, for an operator's
     * question.
     */
    public long learntMillis(String jobClass, double quantile) {
        return lengths.quantile(jobClass, quantile);
    }

    /** A job of this class ran for so long. */
    public void ran(String jobClass, long micros) {
        lengths.recordDuration(jobClass, micros / 1000);
    }

    public void answered(String jobId) {
        ability.jobAnswered(jobId);
    }

    /** Called again and again: the wall clock may be set, and views come. */
    public void tick() {
        long now = host.timers().nowMicros();
        long wall = host.unixMillis().getAsLong();
        ability.setWallClock(now * 1000, wall);
        calendars.updateView(sharing.view(), now);
        List<CalendarRegistry.PendingCalendar> wanted =
                calendars.pending(wall, CalendarLoader.HORIZON_MILLIS);
        for (CalendarRegistry.PendingCalendar w : wanted) {
            if (underWay.add(w.site() + ":" + w.version())) {
                aside.execute(() -> workOut(w, wall));
            }
        }
    }

    private void workOut(CalendarRegistry.PendingCalendar w, long wall) {
        SiteCalendar calendar;
        String why;
        try {
            calendar = CalendarLoader.load(w.site(), w.version(), w.zone(), w.text(), wall);
            why = null;
        } catch (InvalidCalendarException e) {
            calendar = null;
            why = e.description();
        } catch (RuntimeException e) {
            calendar = null;
            why = e.toString();
        }
        SiteCalendar done = calendar;
        String fault = why;
        host.loopExecutor()
                .execute(
                        () -> {
                            underWay.remove(w.site() + ":" + w.version());
                            if (done != null) {
                                calendars.addCompiled(done);
                            } else {
                                calendars.markUnreadable(w, fault);
                            }
                            Events.info(
                                            LOG,
                                            done == null ? "calendar.unreadable" : "calendar.known")
                                    .addKeyValue("site", w.site())
                                    .addKeyValue("version", w.version())
                                    .log(
                                            "calendar "
                                                    + w.version()
                                                    + " of "
                                                    + w.site()
                                                    + (done == null
                                                            ? " cannot be read here: " + fault
                                                            : " is known"));
                        });
    }
}

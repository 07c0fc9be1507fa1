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
 * Applies start windows to a dispatcher. Calendars are loaded on another thread, as a large one
 * takes a while.
 */
public final class DispatcherWindows {

    private static final Logger LOG = LoggerFactory.getLogger(DispatcherWindows.class);

    /**
     * With a view older than this no job that needs a window starts. A process that has not seen a
     * new calendar by then must know that its view is too old.
     */
    private static final long MAX_VIEW_AGE_MICROS = 5_000_000;

    private final Host host;
    private final ReplicatedState state;
    private final Executor blockingExecutor;
    private final WindowSettings settings;
    private final CalendarRegistry calendars = new CalendarRegistry(MAX_VIEW_AGE_MICROS);
    private final DurationHistograms durations = new DurationHistograms();
    private final WindowConstraints constraints;
    private final Set<String> loading = new HashSet<>();

    public DispatcherWindows(
            Host host, ReplicatedState state, Executor blockingExecutor, WindowSettings settings) {
        this.host = host;
        this.state = state;
        this.blockingExecutor = blockingExecutor;
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
        constraints =
                new WindowConstraints(
                        settings.classes(),
                        new WindowConstraints.SiteMapping(
                                settings.sitesByKind(), settings.sitesByZone()),
                        calendars,
                        durations,
                        settings.clockErrorMillis(),
                        host.name().hashCode());
        tick();
    }

    public JobConstraints constraints() {
        return constraints;
    }

    /**
     * Returns the headers by which a job brings a plan of its own; null if no windows are
     * configured.
     */
    public ExtensionHeaders extensionHeaders() {
        return settings.isConfigured()
                ? new PlanHeaders(settings, constraints, host.unixMillis())
                : null;
    }

    public CalendarLookup calendars() {
        return calendars;
    }

    public WindowSettings settings() {
        return settings;
    }

    /**
     * Returns how long jobs of this class are expected to take, in milliseconds, for an operator's
     * query.
     */
    public long learntDurationMillis(String jobClass, double quantile) {
        return durations.quantile(jobClass, quantile);
    }

    /** Records how long a job of this class ran. */
    public void recordDuration(String jobClass, long micros) {
        durations.recordDuration(jobClass, micros / 1000);
    }

    public void requestAnswered(String jobId) {
        constraints.jobAnswered(jobId);
    }

    /**
     * Updates the wall clock, which may be set, and the view, and loads calendars that are missing.
     * Called periodically.
     */
    public void tick() {
        long now = host.timers().nowMicros();
        long wallMillis = host.unixMillis().getAsLong();
        constraints.setWallClock(now * 1000, wallMillis);
        calendars.updateView(state.view(), now);
        List<CalendarRegistry.PendingCalendar> wanted =
                calendars.pending(wallMillis, CalendarLoader.HORIZON_MILLIS);
        for (CalendarRegistry.PendingCalendar calendar : wanted) {
            if (loading.add(calendar.site() + ":" + calendar.version())) {
                blockingExecutor.execute(() -> load(calendar, wallMillis));
            }
        }
    }

    private void load(CalendarRegistry.PendingCalendar wanted, long wallMillis) {
        SiteCalendar calendar;
        String why;
        try {
            calendar =
                    CalendarLoader.load(
                            wanted.site(),
                            wanted.version(),
                            wanted.zone(),
                            wanted.text(),
                            wallMillis);
            why = null;
        } catch (InvalidCalendarException e) {
            calendar = null;
            why = e.description();
        } catch (RuntimeException e) {
            calendar = null;
            why = e.toString();
        }
        SiteCalendar loaded = calendar;
        String fault = why;
        host.loopExecutor()
                .execute(
                        () -> {
                            loading.remove(wanted.site() + ":" + wanted.version());
                            if (loaded != null) {
                                calendars.addCompiled(loaded);
                            } else {
                                calendars.markUnreadable(wanted, fault);
                            }
                            Events.info(
                                            LOG,
                                            loaded == null
                                                    ? "calendar.unreadable"
                                                    : "calendar.known")
                                    .addKeyValue("site", wanted.site())
                                    .addKeyValue("version", wanted.version())
                                    .log(
                                            "calendar "
                                                    + wanted.version()
                                                    + " of "
                                                    + wanted.site()
                                                    + (loaded == null
                                                            ? " cannot be read here: " + fault
                                                            : " is known"));
                        });
    }
}

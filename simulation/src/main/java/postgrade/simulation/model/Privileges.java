package postgrade.simulation.model;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.List;
import postgrade.lease.ReservationView;
import postgrade.shared.View;
import postgrade.simulation.check.Checks;
import postgrade.window.CalendarRegistry;
import postgrade.window.MaintenanceEvent;
import postgrade.window.SiteCalendar;

/** What a dispatcher may do by its view: use a holder's accelerators, and start jobs at a site. */
final class Privileges {

    static final List<String> WORKERS = List.of("w1", "w2");
    private static final long FAR = 1_000_000_000L;

    private final String dispatcher;
    private final Mechanisms mechanisms;
    private final Checks checks;
    private final CalendarRegistry calendars;
    private ReservationView reservations;
    private long now;

    Privileges(String dispatcher, Mechanisms mechanisms, Checks checks) {
        this.dispatcher = dispatcher;
        this.mechanisms = mechanisms;
        this.checks = checks;
        calendars = new CalendarRegistry(mechanisms.longestViewOfCalendars());
        reservations = new ReservationView(View.NONE, mechanisms.leaseTimes());
    }

    void view(View view, long local) {
        now = local;
        if (view != reservations.view()) {
            reservations = new ReservationView(view, mechanisms.leaseTimes());
        }
        calendars.updateView(view, local);
        calendars
                .pending(0, 0)
                .forEach(
                        w ->
                                calendars.addCompiled(
                                        SiteCalendar.compile(
                                                w.site(),
                                                w.version(),
                                                w.text().equals("open")
                                                        ? List.of()
                                                        : List.of(
                                                                MaintenanceEvent.once(
                                                                        "closed",
                                                                        new MaintenanceEvent
                                                                                .ZonedTime(
                                                                                LocalDateTime.of(
                                                                                                1970,
                                                                                                1,
                                                                                                1,
                                                                                                0,
                                                                                                0)
                                                                                        .minusDays(
                                                                                                5),
                                                                                ZoneOffset.UTC
                                                                                        .getRules()),
                                                                        MaintenanceEvent
                                                                                .EventDuration
                                                                                .ofDays(20))),
                                                -FAR / 10,
                                                FAR / 10)));
    }

    /** Tells the checkers what may be done at this instant. */
    void use() {
        for (String worker : WORKERS) {
            for (String holder : Planner.HOLDERS) {
                long asked = mechanisms.usesOldViews() ? reservations.view().asOfMicros() : now;
                reservations
                        .usable(asked, holder, worker)
                        .forEach(u -> checks.leases.used(dispatcher, worker, u.mask(), holder));
            }
        }
        SiteCalendar calendar = calendars.forSite("s");
        if (calendar != null && !calendar.closed().contains(0)) {
            checks.windows.starts(dispatcher);
        }
    }
}

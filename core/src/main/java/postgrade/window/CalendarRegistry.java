package postgrade.window;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.View;

/**
 * The calendars as one process knows them by its view. Once it hears of a version that will count,
 * it keeps the former and that one both, until its view says that the former no longer counts; so
 * it need not know when just that is, and a site is closed by the version in force whichever that
 * is.
 *
 * <p>Texts are worked out by whoever asks {@link #pending}, off the loop. All methods are called on
 * the loop.
 */
public final class CalendarRegistry implements CalendarLookup {

    /** A text to be worked out. */
    public record PendingCalendar(String site, String version, String zone, String text) {}

    private record Versions(String current, String next) {}

    private final long mostViewAgeMicros;
    private View view = View.NONE;
    private long nowMicros;
    private Map<String, Versions> sites = Map.of();
    private final Map<String, SiteCalendar> workedOut = new HashMap<>();
    private final Map<String, String> unreadable = new HashMap<>();

    /** What is in force by site; without those that are not worked out yet. */
    private final Map<String, SiteCalendar> inForce = new HashMap<>();

    /**
     * @param mostViewAgeMicros with an older view nothing that needs a window starts
     */
    public CalendarRegistry(long mostViewAgeMicros) {
        if (mostViewAgeMicros <= 0 || mostViewAgeMicros > CalendarPart.MAX_VIEW_AGE_MICROS) {
            throw new IllegalArgumentException(
                    "the view's age must lie between 1 and "
                            + CalendarPart.MAX_VIEW_AGE_MICROS
                            + " us");
        }
        this.mostViewAgeMicros = mostViewAgeMicros;
    }

    /** The view as it is now, by this process's monotonic clock; called again as time goes on. */
    public void updateView(View latest, long now) {
        nowMicros = now;
        if (latest != view) {
            boolean changed = latest.moment().fence() != view.moment().fence();
            view = latest;
            if (changed) {
                read();
            }
        }
    }

    /**
     * A process that was stopped goes on with a decision before it hears of its view: that too must
     * find it too old.
     */
    @Override
    public void at(long now) {
        nowMicros = Math.max(nowMicros, now);
    }

    private void read() {
        Map<String, Versions> latest = new HashMap<>();
        Set<String> held = new HashSet<>();
        view.rows()
                .ofPart(CalendarPart.NAME)
                .forEach(
                        (key, row) -> {
                            if (key.startsWith(CalendarPart.SITE)) {
                                String site = key.substring(CalendarPart.SITE.length());
                                Versions v =
                                        new Versions(
                                                row.text("current", null), row.text("next", null));
                                latest.put(site, v);
                                held.add(site + ":" + v.current);
                                held.add(site + ":" + v.next);
                            }
                        });
        if (!latest.equals(sites)) {
            sites = latest;
            workedOut.keySet().retainAll(held);
            unreadable.keySet().retainAll(held);
            inForce.clear();
            sites.keySet().forEach(this::join);
        }
    }

    private void join(String site) {
        Versions v = sites.get(site);
        SiteCalendar current = v.current == null ? null : workedOut.get(site + ":" + v.current);
        SiteCalendar next = v.next == null ? null : workedOut.get(site + ":" + v.next);
        if (v.current != null && current == null || v.next != null && next == null) {
            inForce.remove(site);
        } else {
            inForce.put(site, current == null ? next : next == null ? current : current.and(next));
        }
    }

    /** Whether the view may be used at this time. */
    public boolean fresh() {
        return view.known() && view.ageMicros(nowMicros) <= mostViewAgeMicros;
    }

    View latest() {
        return view;
    }

    public Moment moment() {
        return view.moment();
    }

    public long viewAgeMicros() {
        return view.ageMicros(nowMicros);
    }

    /**
     * Texts to be worked out: those that are new, and those worked out for less than half the
     * horizon from now on.
     */
    public List<PendingCalendar> pending(long nowMillis, long horizon) {
        List<PendingCalendar> all = new ArrayList<>();
        sites.forEach(
                (site, v) -> {
                    for (String version : new String[] {v.current, v.next}) {
                        String key = site + ":" + version;
                        SiteCalendar known = workedOut.get(key);
                        if (version != null
                                && !unreadable.containsKey(key)
                                && (known == null || known.knownTo() - nowMillis < horizon / 2)) {
                            Row row = view.rows().get(CalendarPart.NAME, CalendarPart.TEXT + key);
                            all.add(
                                    new PendingCalendar(
                                            site, version, row.text("zone"), row.text("text")));
                        }
                    }
                });
        return all;
    }

    /** One wanted has been worked out; of a version that is gone by now nothing is kept. */
    public void addCompiled(SiteCalendar calendar) {
        keep(calendar.site(), calendar.version(), calendar, null);
    }

    /**
     * One wanted cannot be read here, say since this machine does not know its zone. Its site stays
     * unknown.
     */
    public void markUnreadable(PendingCalendar wanted, String why) {
        keep(wanted.site, wanted.version, null, why);
    }

    private void keep(String site, String version, SiteCalendar calendar, String why) {
        Versions v = sites.get(site);
        if (v == null || !version.equals(v.current) && !version.equals(v.next)) {
            return;
        }
        if (calendar != null) {
            workedOut.put(site + ":" + version, calendar);
        } else {
            workedOut.remove(site + ":" + version);
            unreadable.put(site + ":" + version, why);
        }
        join(site);
    }

    @Override
    public SiteCalendar forSite(String site) {
        // A site without a calendar is unknown, not open: after all state is lost nothing may start
        // inside maintenance.
        return fresh() ? inForce.get(site) : null;
    }

    @Override
    public String why(String site) {
        if (!fresh()) {
            return view.known()
                    ? "the view of the calendars is "
                            + viewAgeMicros() / 1000
                            + " ms old, at most "
                            + mostViewAgeMicros / 1000
                            + " may be"
                    : "no view of the calendars has come yet";
        }
        Versions v = sites.get(site);
        if (v == null) {
            return "it has no calendar; one that is never closed needs an empty one";
        }
        String fault =
                unreadable.getOrDefault(
                        site + ":" + v.current, unreadable.get(site + ":" + v.next));
        return fault == null
                ? "its calendar is being read"
                : "its calendar cannot be read here: " + fault;
    }
}

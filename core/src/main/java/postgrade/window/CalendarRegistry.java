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
 * The calendars that one process knows from its view of the replicated state. Once the view shows a
 * pending version, the site is closed by both the current and the pending version until the view
 * shows that the former is no longer in force. The process therefore need not know the exact time
 * of the change: the site is closed by the version in force, whichever that is.
 *
 * <p>Texts are compiled by the caller of {@link #pending}, off the event loop. All methods are
 * called on the event loop.
 */
public final class CalendarRegistry implements CalendarLookup {

    /** A calendar text to be compiled. */
    public record PendingCalendar(String site, String version, String zone, String text) {}

    private record Versions(String current, String next) {}

    private final long maxViewAgeMicros;
    private View view = View.NONE;
    private long nowMicros;
    private Map<String, Versions> sites = Map.of();
    private final Map<String, SiteCalendar> compiled = new HashMap<>();
    private final Map<String, String> unreadable = new HashMap<>();

    /** The calendar in force by site; a site with a version that is not compiled yet is absent. */
    private final Map<String, SiteCalendar> inForce = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param maxViewAgeMicros with an older view no job that needs a window starts
     */
    public CalendarRegistry(long maxViewAgeMicros) {
        if (maxViewAgeMicros <= 0 || maxViewAgeMicros > CalendarPart.MAX_VIEW_AGE_MICROS) {
            throw new IllegalArgumentException(
                    "the maximum view age must lie between 1 and "
                            + CalendarPart.MAX_VIEW_AGE_MICROS
                            + " us");
        }
        this.maxViewAgeMicros = maxViewAgeMicros;
    }

    /** Updates the view and the time, by the monotonic clock of this process; called repeatedly. */
    public void updateView(View latest, long now) {
        nowMicros = now;
        if (latest != view) {
            boolean changed = latest.moment().fence() != view.moment().fence();
            view = latest;
            if (changed) {
                readView();
            }
        }
    }

    /**
     * A process resumed after a pause may make a decision before its view is updated: that decision
     * too must find the view too old.
     */
    @Override
    public void observeTime(long now) {
        nowMicros = Math.max(nowMicros, now);
    }

    private void readView() {
        Map<String, Versions> latest = new HashMap<>();
        Set<String> referenced = new HashSet<>();
        view.rows()
                .ofPart(CalendarPart.NAME)
                .forEach(
                        (key, row) -> {
                            if (key.startsWith(CalendarPart.SITE_PREFIX)) {
                                String site = key.substring(CalendarPart.SITE_PREFIX.length());
                                Versions versions =
                                        new Versions(
                                                row.text("current", null), row.text("next", null));
                                latest.put(site, versions);
                                referenced.add(site + ":" + versions.current);
                                referenced.add(site + ":" + versions.next);
                            }
                        });
        if (!latest.equals(sites)) {
            sites = latest;
            compiled.keySet().retainAll(referenced);
            unreadable.keySet().retainAll(referenced);
            inForce.clear();
            sites.keySet().forEach(this::updateInForce);
        }
    }

    private void updateInForce(String site) {
        Versions versions = sites.get(site);
        SiteCalendar current =
                versions.current == null ? null : compiled.get(site + ":" + versions.current);
        SiteCalendar next = versions.next == null ? null : compiled.get(site + ":" + versions.next);
        if (versions.current != null && current == null || versions.next != null && next == null) {
            inForce.remove(site);
        } else {
            inForce.put(
                    site, current == null ? next : next == null ? current : current.merge(next));
        }
    }

    /** Returns whether the view may be used at this time. */
    public boolean isViewFresh() {
        return view.known() && view.ageMicros(nowMicros) <= maxViewAgeMicros;
    }

    View latestView() {
        return view;
    }

    public Moment moment() {
        return view.moment();
    }

    public long viewAgeMicros() {
        return view.ageMicros(nowMicros);
    }

    /**
     * Returns the texts to be compiled: those of new versions, and those whose compiled calendar
     * covers less than half the horizon from now on.
     */
    public List<PendingCalendar> pending(long nowMillis, long horizon) {
        List<PendingCalendar> result = new ArrayList<>();
        sites.forEach(
                (site, versions) -> {
                    for (String version : new String[] {versions.current, versions.next}) {
                        String key = site + ":" + version;
                        SiteCalendar existing = compiled.get(key);
                        if (version != null
                                && !unreadable.containsKey(key)
                                && (existing == null
                                        || existing.horizonEnd() - nowMillis < horizon / 2)) {
                            Row row =
                                    view.rows()
                                            .get(CalendarPart.NAME, CalendarPart.TEXT_PREFIX + key);
                            result.add(
                                    new PendingCalendar(
                                            site, version, row.text("zone"), row.text("text")));
                        }
                    }
                });
        return result;
    }

    /** Adds a compiled calendar; ignored if its version is no longer in the view. */
    public void addCompiled(SiteCalendar calendar) {
        store(calendar.site(), calendar.version(), calendar, null);
    }

    /**
     * Records that a text cannot be compiled here, for example because this machine does not know
     * its zone. The calendar of its site stays unknown.
     */
    public void markUnreadable(PendingCalendar calendar, String reason) {
        store(calendar.site, calendar.version, null, reason);
    }

    private void store(String site, String version, SiteCalendar calendar, String reason) {
        Versions versions = sites.get(site);
        if (versions == null
                || !version.equals(versions.current) && !version.equals(versions.next)) {
            return;
        }
        if (calendar != null) {
            compiled.put(site + ":" + version, calendar);
        } else {
            compiled.remove(site + ":" + version);
            unreadable.put(site + ":" + version, reason);
        }
        updateInForce(site);
    }

    @Override
    public SiteCalendar forSite(String site) {
        // A site without a calendar is unknown, not open: after a loss of all state no job may
        // start inside maintenance.
        return isViewFresh() ? inForce.get(site) : null;
    }

    @Override
    public String unavailableReason(String site) {
        if (!isViewFresh()) {
            return view.known()
                    ? "the view of the calendars is "
                            + viewAgeMicros() / 1000
                            + " ms old, at most "
                            + maxViewAgeMicros / 1000
                            + " may be"
                    : "no view of the calendars has come yet";
        }
        Versions versions = sites.get(site);
        if (versions == null) {
            return "it has no calendar; one that is never closed needs an empty one";
        }
        String error =
                unreadable.getOrDefault(
                        site + ":" + versions.current, unreadable.get(site + ":" + versions.next));
        return error == null
                ? "its calendar is being read"
                : "its calendar cannot be read here: " + error;
    }
}

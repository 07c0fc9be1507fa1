package postgrade.sharing.window;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import postgrade.window.JobClassWindow;

/**
 * Start windows as configured by operators.
 *
 * @param classes the classes that have windows
 * @param sitesByKind the site of a worker by its kind; takes precedence over its zone
 * @param sitesByZone the site of a worker by its zone
 * @param clockErrorMillis the largest error of this machine's wall clock
 */
public record WindowSettings(
        List<JobClassWindow> classes,
        Map<String, String> sitesByKind,
        Map<String, String> sitesByZone,
        long clockErrorMillis) {

    public boolean isConfigured() {
        return !classes.isEmpty() || !sitesByKind.isEmpty() || !sitesByZone.isEmpty();
    }

    /** Returns all sites that any setting names. */
    public Set<String> allSites() {
        Set<String> all = new TreeSet<>(sitesByKind.values());
        all.addAll(sitesByZone.values());
        classes.forEach(c -> all.addAll(c.sites()));
        return all;
    }

    public static final WindowSettings NONE =
            new WindowSettings(List.of(), Map.of(), Map.of(), 1_000);
}

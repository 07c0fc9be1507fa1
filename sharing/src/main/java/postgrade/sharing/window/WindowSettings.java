package postgrade.sharing.window;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import postgrade.window.JobClassWindow;

/**
 * Start windows as set by operators.
 *
 * @param sitesByKind and {@code sitesByZone}: at which site a worker stands, by its kind where that
 *     is named
 * @param clockErrorMillis how far this machine's wall clock may be off
 */
public record WindowSettings(
        List<JobClassWindow> classes,
        Map<String, String> sitesByKind,
        Map<String, String> sitesByZone,
        long clockErrorMillis) {

    public boolean any() {
        return !classes.isEmpty() || !sitesByKind.isEmpty() || !sitesByZone.isEmpty();
    }

    /** All that are named anywhere. */
    public Set<String> sites() {
        Set<String> all = new TreeSet<>(sitesByKind.values());
        all.addAll(sitesByZone.values());
        classes.forEach(c -> all.addAll(c.sites()));
        return all;
    }

    public static final WindowSettings NONE =
            new WindowSettings(List.of(), Map.of(), Map.of(), 1_000);
}

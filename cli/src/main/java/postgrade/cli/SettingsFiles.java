package postgrade.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import postgrade.daemon.ConfigCheck.Setting;
import postgrade.fleet.plan.FleetPlan;
import postgrade.load.plan.Plan;
import postgrade.load.source.Cause;
import postgrade.load.source.Policies;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.sharing.settings.SharingSettings;
import postgrade.sharing.settings.SharingSettingsFile;

/** Checks settings scripts: tells by what a file defines which program it is for. */
final class SettingsFiles {

    private SettingsFiles() {}

    static List<Setting> check(Path file) throws IOException {
        // A fleet names its workers at the top; anything else is held to be a plan, whose messages
        // say what it lacks.
        if (Files.readAllLines(file).stream().anyMatch(l -> l.matches("workers\\s*=.*"))) {
            return fleet(FleetPlan.of(file, line -> {}));
        }
        if (Files.readAllLines(file).stream().anyMatch(l -> l.matches("voters\\s*=.*"))) {
            return sharing(SharingSettingsFile.read(file, "any-name"));
        }
        return plan(Plan.of(file, line -> {}), file);
    }

    private static List<Setting> sharing(SharingSettingsFile.Contents b) {
        QuorumSettings q = b.quorum();
        SharingSettings s = b.sharing();
        List<Setting> all = new ArrayList<>();
        q.voters()
                .forEach(
                        v ->
                                all.add(
                                        new Setting(
                                                "voters",
                                                v.name() + " at " + v.host() + ":" + v.port(),
                                                "file")));
        all.add(
                new Setting(
                        "view_age_ms",
                        Long.toString(q.maxViewAgeMicros() / 1000),
                        "file or default"));
        all.add(
                new Setting(
                        "pull_ms", Integer.toString(q.pullIntervalMillis()), "file or default"));
        all.add(
                new Setting(
                        "request_ms",
                        Integer.toString(q.requestTimeoutMillis()),
                        "file or default"));
        all.add(
                new Setting(
                        "heartbeat_ms",
                        Integer.toString(q.heartbeatIntervalMillis()),
                        "file or default"));
        all.add(
                new Setting(
                        "election_ms",
                        Integer.toString(q.electionTimeoutMillis()),
                        "file or default"));
        all.add(
                new Setting(
                        "places",
                        s.places() == 0 ? "as the dispatchers' balancers" : "" + s.places(),
                        "file or default"));
        all.add(new Setting("lease_s", Double.toString(s.leaseMicros() / 1e6), "file or default"));
        all.add(
                new Setting(
                        "linger_s", Double.toString(s.lingerMicros() / 1e6), "file or default"));
        all.add(new Setting("accelerators", s.accelerators().toString(), "file or default"));
        all.add(new Setting("reserving", s.reservingClasses().toString(), "file or default"));
        s.windows()
                .classes()
                .forEach(
                        w ->
                                all.add(
                                        new Setting(
                                                "windows",
                                                w.name() + " at " + String.join(", ", w.sites()),
                                                "file")));
        return all;
    }

    private static List<Setting> fleet(FleetPlan f) {
        List<Setting> all = new ArrayList<>();
        all.add(
                new Setting(
                        "seed", Long.toString(f.seed), f.seed == 1 ? "file or default" : "file"));
        all.add(
                new Setting(
                        "workers",
                        f.workers.size()
                                + ", "
                                + f.workers.stream().mapToInt(w -> w.spec().cores()).sum()
                                + " cores",
                        "file"));
        f.classes
                .values()
                .forEach(
                        c ->
                                all.add(
                                        new Setting(
                                                "classes[\"" + c.name() + "\"]",
                                                c.workMs()
                                                        + " ms, "
                                                        + (c.repeatable()
                                                                ? "may be repeated"
                                                                : "must not run twice"),
                                                "file")));
        f.tenants.forEach(
                (t, rate) ->
                        all.add(new Setting("tenants[\"" + t + "\"]", rate + " a second", "file")));
        f.faults.forEach(
                x ->
                        all.add(
                                new Setting(
                                        "faults",
                                        x.kind() + " at " + x.at() + " s for " + x.lasts() + " s",
                                        "file")));
        all.add(
                new Setting(
                        "notice_ms", f.noticeMs[0] + " to " + f.noticeMs[1], "file or default"));
        all.add(new Setting("idle_ms", Double.toString(f.idleMs), "file or default"));
        all.add(
                new Setting(
                        "most_connections",
                        Integer.toString(f.mostConnections),
                        "file or default"));
        return all;
    }

    private static List<Setting> plan(Plan plan, Path file) {
        Policies p = plan.policies();
        Policies defaults = new Policies();
        List<Setting> all = new ArrayList<>();
        all.add(new Setting("classify", "a function", file.getFileName().toString()));
        all.add(of("time_zone", p.zone, defaults.zone));
        all.add(
                of(
                        "retries",
                        p.retries.name().toLowerCase(java.util.Locale.ROOT),
                        defaults.retries.name().toLowerCase(java.util.Locale.ROOT)));
        all.add(of("retry_window_s", p.retryWindowMicros / 1e6, defaults.retryWindowMicros / 1e6));
        all.add(
                of(
                        "clock_backwards_tolerance_s",
                        p.backwardsToleranceMicros / 1e6,
                        defaults.backwardsToleranceMicros / 1e6));
        all.add(
                of(
                        "clock_forwards_gap_s",
                        p.forwardsGapMicros / 1e6,
                        defaults.forwardsGapMicros / 1e6));
        for (Cause c : Policies.CHOICES.keySet()) {
            all.add(of("anomalies[\"" + c.key() + "\"]", p.of(c), defaults.of(c)));
        }
        return all;
    }

    private static Setting of(String key, Object value, Object standard) {
        return new Setting(key, String.valueOf(value), value.equals(standard) ? "default" : "file");
    }
}

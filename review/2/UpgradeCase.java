package review;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A new version is started beside the serving one, several times, under load of which some clients
 * have left. Workers go on with the jobs of those and report on them.
 */
final class UpgradeCase extends Case {

    private static final int UPGRADES = 24;

    /** The new process has to say yes by then. */
    private static final long YES_MILLIS = 6000;

    /** SIGKILL follows SIGTERM after the longest deadline, counted as 3 s, and 0.7 s. */
    private static final long KILL_MILLIS = 3700;

    private UpgradeCase(Path folder) {
        super(folder);
    }

    public static void main(String[] args) {
        run(new UpgradeCase(Path.of(args[0])));
    }

    @Override
    String play() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            workers.add(new Worker(String.format("s-%08x", i), record, Long::parseLong));
        }
        Discovery discovery = new Discovery(workers);
        Platform platform = new Platform(root, record);
        platform.useOneCore();
        InetSocketAddress listen = Platform.freeAddress();
        workers.forEach(worker -> worker.reportTo(listen));
        workers.forEach(Peer::open);
        discovery.open();
        Path shared = platform.newFolder("shared");
        Platform.Dispatcher serving =
                platform.start("v0", listen, shared, discovery, SETTINGS, SOCKETS, folder.resolve("v0.log"));
        require(platform.awaitYes(serving, listen, "/-/ready", 30_000), "not ready in 30 s");

        Load load = new Load();
        for (int i = 0; i < 48; i++) {
            boolean leaves = i % 2 == 0;
            load.add(
                    new Load.Kind(
                            "route-plan", "kvart-market", 10_000, leaves ? 300 : 0, 500, "1100"),
                    listen,
                    record);
        }
        Peer.sleep(3000);
        int upgrades = 0;
        String broken = null;
        while (trouble && upgrades < UPGRADES && broken == null) {
            upgrades++;
            Platform.Dispatcher next =
                    platform.start(
                            "v" + upgrades,
                            listen,
                            shared,
                            discovery,
                            SETTINGS,
                            SOCKETS,
                            folder.resolve("v" + upgrades + ".log"));
            boolean yes = platform.awaitYes(next, next.operator(), "/status", YES_MILLIS);
            if (!yes) {
                String log = Files.readString(folder.resolve(next.label() + ".log"));
                require(!log.contains("operators' address"), "a port was taken meanwhile");
                broken =
                        next.process().isAlive()
                                ? "the new process of upgrade " + upgrades + " said no yes in 6 s"
                                : "the new process of upgrade "
                                        + upgrades
                                        + " ended with exit code "
                                        + next.process().exitValue();
                break;
            }
            record.line("platform", "SIGTERM to " + serving.label());
            serving.process().destroy();
            if (!serving.process().waitFor(KILL_MILLIS, TimeUnit.MILLISECONDS)) {
                record.line("platform", "SIGKILL to " + serving.label());
                serving.process().destroyForcibly().waitFor();
            }
            serving = next;
            Peer.sleep(500);
        }
        if (!trouble) {
            Peer.sleep(20_000);
        }
        if (!serving.process().isAlive()) {
            broken = "the serving process ended";
        }
        load.end();
        record.line("case", upgrades + " upgrades, " + load.counts());
        return broken;
    }
}

package postgrade.quorum.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import postgrade.quorum.Quorum;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.SharingFile;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * Main class for measurements: opens the shared state in one process and stays idle, or renews a
 * row at a fixed interval as a member would. Arguments: settings file, name, milliseconds between
 * commands (0 for none).
 */
public final class One {

    private One() {}

    private static final class MembersPart implements StatePart {
        @Override
        public String name() {
            return "members";
        }

        @Override
        public Answer apply(Rows rows, Moment at, Command command) {
            rows.put(
                    "members",
                    command.from(),
                    Row.of("incarnation", command.incarnation(), "seen", at.micros()));
            return Answer.done("", Row.EMPTY);
        }
    }

    public static void main(String[] args) throws Exception {
        QuorumSettings settings = SharingFile.read(Path.of(args[0]), args[1], System.err::println);
        Executor loop = Executors.newSingleThreadExecutor();
        Quorum quorum =
                Quorum.open(
                        settings, List.of(new MembersPart()), () -> System.nanoTime() / 1000, loop);
        long pauseMillis = Long.parseLong(args[2]);
        long lastDecidedNanos = 0;
        while (true) {
            Thread.sleep(pauseMillis == 0 ? 1000 : pauseMillis);
            if (pauseMillis > 0) {
                long sentNanos = System.nanoTime();
                java.util.concurrent.CompletableFuture<Boolean> done =
                        new java.util.concurrent.CompletableFuture<>();
                loop.execute(
                        () ->
                                quorum.submit(
                                        new Command(
                                                "",
                                                settings.name(),
                                                1,
                                                "members",
                                                "renew",
                                                Row.EMPTY),
                                        1_000_000,
                                        r -> done.complete(r.decided())));
                if (done.get()) {
                    long nowNanos = System.nanoTime();
                    System.out.println(
                            "decided after "
                                    + (nowNanos - sentNanos) / 1000
                                    + " us, gap "
                                    + (lastDecidedNanos == 0 ? 0 : nowNanos - lastDecidedNanos)
                                            / 1_000_000
                                    + " ms, view age "
                                    + quorum.view().ageMicros(nowNanos / 1000) / 1000
                                    + " ms");
                    lastDecidedNanos = nowNanos;
                }
            } else {
                System.out.println(
                        quorum.standing()
                                + " age ms "
                                + quorum.view().ageMicros(System.nanoTime() / 1000) / 1000);
            }
        }
    }
}

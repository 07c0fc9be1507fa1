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
 * One process for measuring: opens sharing and does nothing else, or renews a row every so many
 * milliseconds as a member would. Arguments: settings file, name, milliseconds between commands (0
 * for none).
 */
public final class One {

    private One() {}

    private static final class Members implements StatePart {
        @Override
        public String name() {
            return "members";
        }

        @Override
        public Answer apply(Rows rows, Moment at, Command c) {
            rows.put(
                    "members",
                    c.from(),
                    Row.of("incarnation", c.incarnation(), "seen", at.micros()));
            return Answer.done("", Row.EMPTY);
        }
    }

    public static void main(String[] args) throws Exception {
        QuorumSettings settings = SharingFile.read(Path.of(args[0]), args[1], System.err::println);
        Executor loop = Executors.newSingleThreadExecutor();
        Quorum quorum =
                Quorum.open(settings, List.of(new Members()), () -> System.nanoTime() / 1000, loop);
        long pause = Long.parseLong(args[2]);
        long last = 0;
        while (true) {
            Thread.sleep(pause == 0 ? 1000 : pause);
            if (pause > 0) {
                long sent = System.nanoTime();
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
                    long now = System.nanoTime();
                    System.out.println(
                            "decided after "
                                    + (now - sent) / 1000
                                    + " us, gap "
                                    + (last == 0 ? 0 : now - last) / 1_000_000
                                    + " ms, view age "
                                    + quorum.view().ageMicros(now / 1000) / 1000
                                    + " ms");
                    last = now;
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

package postgrade.quorum;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.ReplicatedState.Reply;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/** Voters and observers in this process, over real connections, each with a store of its own. */
final class Cluster implements AutoCloseable {

    /** For what must come: it bounds what hangs, and judges nobody's pace. */
    static final long LONG_MICROS = 100_000_000;

    private static final long DEADLINE_MILLIS = 120_000;

    /** Counts what it was told to add, by key. */
    static final class Sums implements StatePart {
        @Override
        public String name() {
            return "sums";
        }

        @Override
        public Answer apply(Rows rows, Moment at, Command c) {
            long by = c.args().integer("by");
            Row before = rows.get("sums", c.args().text("key"));
            long sum = (before == null ? 0 : before.integer("sum")) + by;
            rows.put("sums", c.args().text("key"), Row.of("sum", sum));
            return Answer.done("", Row.of("sum", sum, "fence", at.fence()));
        }
    }

    final Path folder;
    final List<Voter> voters = new ArrayList<>();
    final Map<String, Quorum> open = new TreeMap<>();
    private final List<Socket> holders = new ArrayList<>();
    final ExecutorService loop = Executors.newSingleThreadExecutor();

    Cluster() {
        try {
            folder = Files.createTempDirectory("quorum");
            for (String name : List.of("a", "b", "c")) {
                voters.add(new Voter(name, "127.0.0.1", hold()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * A port that stays ours while its voter is away: a socket is bound to it and never listens, so
     * the system gives it to nobody else, and lets the voter listen beside it.
     */
    private int hold() throws IOException {
        Socket holder = new Socket();
        holders.add(holder);
        holder.setReuseAddress(true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return holder.getLocalPort();
    }

    QuorumSettings settings(String name) {
        return new QuorumSettings(
                name, 0, voters, folder.resolve(name), 2_000_000, 500, 50, 50, 800);
    }

    /** Three voters of a first era, all of which count. */
    static Cluster begun() throws IOException {
        Cluster c = new Cluster();
        String against = Quorum.beginEra(c.settings("a"), 1);
        if (against != null) {
            throw new IllegalStateException(against);
        }
        c.start("a", "b", "c");
        c.awaitAll("a", "b", "c");
        return c;
    }

    void start(String... names) throws IOException {
        for (String name : names) {
            open.put(
                    name,
                    Quorum.open(
                            settings(name),
                            List.of(new Sums()),
                            () -> System.nanoTime() / 1000,
                            loop));
        }
    }

    void stop(String... names) {
        for (String name : names) {
            Quorum q = open.remove(name);
            q.close();
            try {
                if (!q.awaitClosed(DEADLINE_MILLIS)) {
                    throw new AssertionError(name + " was not closed");
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    void wipe(String name) {
        try (Stream<Path> files = Files.walk(folder.resolve(name))) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Until all of them vote, and see that all three do. */
    void awaitAll(String... names) {
        for (String name : names) {
            await(
                    name + " votes",
                    () ->
                            open.get(name).standing().role() == Quorum.Role.VOTER
                                    && open.get(name).standing().voters() == 3
                                    && open.get(name).standing().leader() != null);
        }
    }

    static Command add(String id, String key, long by) {
        return new Command(id, "test", 1, "sums", "add", Row.of("key", key, "by", by));
    }

    Reply ask(String through, Command c, long withinMicros) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        loop.execute(() -> open.get(through).submit(c, withinMicros, reply::complete));
        try {
            return reply.get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("no reply", e);
        }
    }

    long sum(String seenBy, String key) {
        Row row = open.get(seenBy).view().rows().get("sums", key);
        return row == null ? 0 : row.integer("sum");
    }

    void await(String what, BooleanSupplier there) {
        long until = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        while (!there.getAsBoolean()) {
            if (System.nanoTime() > until) {
                StringBuilder told = new StringBuilder();
                open.forEach(
                        (n, q) ->
                                told.append('\n')
                                        .append(q.standing())
                                        .append(' ')
                                        .append(q.view().moment()));
                throw new AssertionError("waited in vain: " + what + told);
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    @Override
    public void close() {
        stop(open.keySet().toArray(new String[0]));
        loop.shutdown();
        wipe("");
        for (Socket holder : holders) {
            try {
                holder.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}

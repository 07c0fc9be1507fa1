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

    /** Upper bound for outcomes that must come: it catches hangs and does not judge speed. */
    static final long AMPLE_TIMEOUT_MICROS = 100_000_000;

    private static final long AWAIT_TIMEOUT_MILLIS = 120_000;

    /** Sums the amounts that commands add, by key. */
    static final class SumPart implements StatePart {
        @Override
        public String name() {
            return "sums";
        }

        @Override
        public Answer apply(Rows rows, Moment at, Command command) {
            long by = command.args().integer("by");
            Row before = rows.get("sums", command.args().text("key"));
            long sum = (before == null ? 0 : before.integer("sum")) + by;
            rows.put("sums", command.args().text("key"), Row.of("sum", sum));
            return Answer.done("", Row.of("sum", sum, "fence", at.fence()));
        }
    }

    final Path folder;
    final List<Voter> voters = new ArrayList<>();
    final Map<String, Quorum> processes = new TreeMap<>();
    private final List<Socket> portHolders = new ArrayList<>();
    final ExecutorService loop = Executors.newSingleThreadExecutor();

    Cluster() {
        try {
            folder = Files.createTempDirectory("quorum");
            for (String name : List.of("a", "b", "c")) {
                voters.add(new Voter(name, "127.0.0.1", reservePort()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reserves a port for a voter, also while the voter is stopped: a socket is bound to it and
     * never listens, so the system gives the port to nobody else and still lets the voter listen on
     * it.
     */
    private int reservePort() throws IOException {
        Socket holder = new Socket();
        portHolders.add(holder);
        holder.setReuseAddress(true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return holder.getLocalPort();
    }

    QuorumSettings settings(String name) {
        return new QuorumSettings(
                name, 0, voters, folder.resolve(name), 2_000_000, 500, 50, 50, 800);
    }

    /** Starts three voters in a first era and waits until all of them vote. */
    static Cluster startWithFirstEra() throws IOException {
        Cluster cluster = new Cluster();
        String refusal = Quorum.beginEra(cluster.settings("a"), 1);
        if (refusal != null) {
            throw new IllegalStateException(refusal);
        }
        cluster.start("a", "b", "c");
        cluster.awaitAll("a", "b", "c");
        return cluster;
    }

    void start(String... names) throws IOException {
        for (String name : names) {
            processes.put(
                    name,
                    Quorum.open(
                            settings(name),
                            List.of(new SumPart()),
                            () -> System.nanoTime() / 1000,
                            loop));
        }
    }

    void stop(String... names) {
        for (String name : names) {
            Quorum quorum = processes.remove(name);
            quorum.close();
            try {
                if (!quorum.awaitClosed(AWAIT_TIMEOUT_MILLIS)) {
                    throw new AssertionError(name + " did not close");
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    void deleteStore(String name) {
        try (Stream<Path> files = Files.walk(folder.resolve(name))) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until these voters vote and see all three voters. */
    void awaitAll(String... names) {
        for (String name : names) {
            await(
                    name + " votes",
                    () ->
                            processes.get(name).standing().role() == Quorum.Role.VOTER
                                    && processes.get(name).standing().voters() == 3
                                    && processes.get(name).standing().leader() != null);
        }
    }

    static Command addCommand(String id, String key, long by) {
        return new Command(id, "test", 1, "sums", "add", Row.of("key", key, "by", by));
    }

    Reply submit(String process, Command command, long timeoutMicros) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        loop.execute(() -> processes.get(process).submit(command, timeoutMicros, reply::complete));
        try {
            return reply.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("no reply", e);
        }
    }

    long sum(String process, String key) {
        Row row = processes.get(process).view().rows().get("sums", key);
        return row == null ? 0 : row.integer("sum");
    }

    void await(String expectation, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                StringBuilder states = new StringBuilder();
                processes.forEach(
                        (name, quorum) ->
                                states.append('\n')
                                        .append(quorum.standing())
                                        .append(' ')
                                        .append(quorum.view().moment()));
                throw new AssertionError("timed out waiting until: " + expectation + states);
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
        stop(processes.keySet().toArray(new String[0]));
        loop.shutdown();
        deleteStore("");
        for (Socket holder : portHolders) {
            try {
                holder.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}

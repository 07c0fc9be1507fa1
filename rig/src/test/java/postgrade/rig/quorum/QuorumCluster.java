package postgrade.rig.quorum;

import static org.junit.Assert.assertEquals;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postgrade.rig.check.LogCheck;
import postgrade.rig.cluster.Cluster;
import postgrade.rig.history.History.Event;
import postgrade.rig.process.JavaProcess;

/**
 * Three voters and any number of observers, each in a process of its own and with a fault proxy
 * between each two, and the checks that apply to every run.
 */
final class QuorumCluster implements Closeable {

    static final List<String> VOTERS = List.of("n1", "n2", "n3");
    static final long TIMEOUT_MS = 120_000;
    private static final int MAX_TRIES = 80;

    final Cluster cluster;
    private final List<String> processNames = new ArrayList<>(VOTERS);
    private final Map<String, Long> maxFileKib = new TreeMap<>();
    private int countedKeys;

    QuorumCluster(Path folder, String... observers) throws IOException {
        processNames.addAll(List.of(observers));
        cluster = new Cluster(folder, processNames, VOTERS);
        cluster.setProcessFactory(
                name -> {
                    JavaProcess.Builder builder =
                            new JavaProcess.Builder(
                                            name, QuorumNode.class.getName(), arguments(name))
                                    .environment("HOME", folder.toString());
                    return maxFileKib.containsKey(name)
                            ? builder.maxFileKib(maxFileKib.get(name))
                            : builder;
                });
    }

    private String[] arguments(String name, String... leading) {
        List<String> arguments = new ArrayList<>(List.of(leading));
        arguments.add(name);
        arguments.add(cluster.store(name).toString());
        VOTERS.forEach(v -> arguments.add(v + "=" + cluster.port(name, v)));
        return arguments.toArray(new String[0]);
    }

    /**
     * Limits the size of each file that the process writes, from its next start on. A negative
     * value removes the limit.
     */
    void setMaxFileKib(String name, long kibibytes) {
        if (kibibytes < 0) {
            maxFileKib.remove(name);
        } else {
            maxFileKib.put(name, kibibytes);
        }
    }

    /**
     * Begins an era at the voter, in a process that ends afterwards.
     *
     * @return why the era was refused; empty if it was begun
     */
    String beginEra(String name, long era) throws IOException, InterruptedException {
        int from = cluster.history().size();
        try (JavaProcess process =
                new JavaProcess.Builder(
                                name,
                                QuorumNode.class.getName(),
                                arguments(name, "era", Long.toString(era)))
                        .start(cluster.history())) {
            String refusal = process.await("era", from, TIMEOUT_MS).text("against");
            process.awaitExit();
            return refusal;
        }
    }

    /**
     * Sets up a new installation: begins the first era at n1, starts all processes and waits until
     * each has a fresh view and all three are voters.
     */
    void startAll() throws IOException, InterruptedException {
        assertEquals("", beginEra("n1", 1));
        for (String name : processNames) {
            cluster.start(name);
        }
        for (String name : processNames) {
            await(name, "fresh", 0);
        }
        for (String v : VOTERS) {
            awaitStanding(v, 0, "VOTER", 3);
        }
    }

    Event await(String name, String kind, int from) throws InterruptedException {
        return cluster.process(name).await(kind, from, TIMEOUT_MS);
    }

    void awaitStanding(String name, int from, String role, long voters)
            throws InterruptedException {
        cluster.history()
                .await(
                        name + " as " + role + " among " + voters,
                        from,
                        TIMEOUT_MS,
                        e ->
                                e.who().equals(name)
                                        && e.kind().equals("standing")
                                        && e.text("role").equals(role)
                                        && e.number("voters") == voters);
    }

    /**
     * Waits for a fault in the log of the process, which has a line for every fault. The standing
     * is only sampled and can miss a fault that lasts briefly.
     */
    void awaitFault(String name, int from, String fragment) throws InterruptedException {
        cluster.history()
                .await(
                        name + "'s fault of " + fragment,
                        from,
                        TIMEOUT_MS,
                        e ->
                                e.who().equals(name)
                                        && e.kind().equals("line")
                                        && e.text("text").contains(" WARNING ")
                                        && e.text("text").contains(fragment));
    }

    /** Waits for a fault that also shows in the standing of the process because it persists. */
    void awaitPersistentFault(String name, int from, String fragment) throws InterruptedException {
        awaitFault(name, from, fragment);
        cluster.history()
                .await(
                        name + "'s lasting fault of " + fragment,
                        from,
                        TIMEOUT_MS,
                        e ->
                                e.who().equals(name)
                                        && e.kind().equals("standing")
                                        && e.text("fault").contains(fragment));
    }

    /**
     * Returns the leader that this process last reported. If it last reported that there is none,
     * waits until it reports one.
     */
    String leader(String observer) throws InterruptedException {
        List<Event> all = cluster.history().all();
        int last = all.size() - 1;
        while (last > 0
                && !(all.get(last).who().equals(observer)
                        && all.get(last).kind().equals("standing"))) {
            last--;
        }
        return cluster.history()
                .await(
                        observer + "'s leader",
                        Math.max(0, last),
                        TIMEOUT_MS,
                        e ->
                                e.who().equals(observer)
                                        && e.kind().equals("standing")
                                        && !e.text("leader").isEmpty())
                .text("leader");
    }

    /** Waits until this process reports a leader other than the former one, which was killed. */
    void awaitLeaderAfter(String former, String observer, int from) throws InterruptedException {
        cluster.history()
                .await(
                        observer + "'s leader after " + former,
                        from,
                        TIMEOUT_MS,
                        e ->
                                e.who().equals(observer)
                                        && e.kind().equals("standing")
                                        && !e.text("leader").isEmpty()
                                        && !e.text("leader").equals(former));
    }

    /** Returns a voter that is not among the excluded ones. */
    static String otherVoter(String... excluded) {
        return VOTERS.stream()
                .filter(v -> !List.of(excluded).contains(v))
                .findFirst()
                .orElseThrow();
    }

    /** Submits a command once. The kind of the returned event tells whether it was decided. */
    Event submit(String name, String id, String key) throws IOException, InterruptedException {
        int from = cluster.history().size();
        cluster.process(name).writeLine("ask " + id + " " + key);
        return cluster.history()
                .await(
                        "reply to " + id,
                        from,
                        TIMEOUT_MS,
                        e ->
                                e.who().equals(name)
                                        && e.kind().endsWith("decided")
                                        && e.text("id").equals(id));
    }

    /** Submits the command under the same id to the given processes in turn until it is decided. */
    Event submitUntilDecided(String id, String key, String... recipients)
            throws IOException, InterruptedException {
        for (int i = 0; i < MAX_TRIES; i++) {
            Event e = submit(recipients[i % recipients.length], id, key);
            if (e.kind().equals("decided")) {
                return e;
            }
        }
        throw new AssertionError(id + " was not decided in " + MAX_TRIES + " tries");
    }

    /** Counts a key that was not used before, by way of the given processes. */
    Event countNewKey(String... recipients) throws IOException, InterruptedException {
        countedKeys++;
        return submitUntilDecided("r" + countedKeys, "k" + countedKeys, recipients);
    }

    /** Waits until the view of this process, since its last start, includes the log entry. */
    void awaitView(String name, long index) throws InterruptedException {
        List<Event> all = cluster.history().all();
        int lastStart = all.size() - 1;
        while (!(all.get(lastStart).who().equals(name)
                && all.get(lastStart).kind().equals("begun"))) {
            lastStart--;
        }
        cluster.history()
                .await(
                        name + "'s view of " + index,
                        lastStart,
                        TIMEOUT_MS,
                        e ->
                                e.who().equals(name)
                                        && e.kind().equals("view")
                                        && e.number("index") >= index);
    }

    /**
     * Returns the counts in the view of this process once the view includes the log entry. Waiting
     * is needed because a command can be decided before a view shows it.
     */
    Map<String, Long> rows(String name, long index) throws IOException, InterruptedException {
        awaitView(name, index);
        int from = cluster.history().size();
        cluster.process(name).writeLine("rows");
        Map<String, Long> rows = new TreeMap<>();
        await(name, "rows", from)
                .fields()
                .get("rows")
                .asObject()
                .forEach(m -> rows.put(m.getName(), m.getValue().asLong()));
        return rows;
    }

    /**
     * Checks what must hold in every run: all processes applied the same log, no acknowledged
     * command is lost or applied twice, and no view goes back.
     */
    void checkHistory(String observer) throws IOException, InterruptedException {
        List<LogCheck.Applied> applied = new ArrayList<>();
        List<LogCheck.ObservedView> views = new ArrayList<>();
        List<LogCheck.Acknowledged> acknowledged = new ArrayList<>();
        Map<String, Long> starts = new TreeMap<>();
        long lastIndex = 0;
        for (Event e : cluster.history().all()) {
            switch (e.kind()) {
                case "begun" -> starts.merge(e.who(), 1L, Long::sum);
                case "view" -> {
                    applied.add(
                            new LogCheck.Applied(
                                    e.who(),
                                    starts.get(e.who()),
                                    e.number("era"),
                                    e.number("index"),
                                    e.text("digest")));
                    views.add(
                            new LogCheck.ObservedView(
                                    e.who(),
                                    starts.get(e.who()),
                                    e.number("era"),
                                    e.number("index")));
                }
                case "decided" -> {
                    acknowledged.add(
                            new LogCheck.Acknowledged(
                                    e.text("key"), e.number("era"), e.number("index")));
                    lastIndex = Math.max(lastIndex, e.number("index"));
                }
                default -> {}
            }
        }
        assertEquals(List.of(), LogCheck.agreement(applied));
        assertEquals(List.of(), LogCheck.monotonicViews(views));
        assertEquals(List.of(), LogCheck.durability(acknowledged, rows(observer, lastIndex)));
    }

    @Override
    public void close() throws IOException {
        cluster.close();
    }
}

package postgrade.rig.quorum;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Scanner;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import postgrade.quorum.Quorum;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.Row;
import postgrade.shared.View;

/**
 * A process that runs one quorum member and nothing else. It reads commands from standard input and
 * writes events to standard output, one JSON object a line. Arguments: its name, the path of its
 * store, and the voters with the ports at which it reaches them, as {@code n1=port}. With {@code
 * era N} in front of them it begins that era and exits.
 */
public final class QuorumNode {

    private final String name;
    private final LongSupplier clockMicros;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    private final QuorumSettings settings;
    private Quorum quorum;
    private View lastView = View.NONE;
    private String lastStanding = "";
    private boolean fresh;

    private QuorumNode(String name, Path store, List<Voter> voters) {
        this.name = name;
        settings = QuorumSettings.withDefaults(name, voters, store);
        String clock = System.getenv("POSTGRADE_TEST_CLOCK");
        double rate = clock == null ? 1 : 1 + Long.parseLong(clock.split(",")[1]) / 1e6;
        long startNanos = System.nanoTime();
        clockMicros = () -> (long) ((System.nanoTime() - startNanos) / 1000 * rate);
    }

    public static void main(String[] args) throws IOException {
        boolean beginEra = args[0].equals("era");
        int firstArgument = beginEra ? 2 : 0;
        List<Voter> voters = new ArrayList<>();
        for (int i = firstArgument + 2; i < args.length; i++) {
            String[] nameAndPort = args[i].split("=");
            voters.add(new Voter(nameAndPort[0], "127.0.0.1", Integer.parseInt(nameAndPort[1])));
        }
        QuorumNode node =
                new QuorumNode(args[firstArgument], Path.of(args[firstArgument + 1]), voters);
        if (beginEra) {
            String refusal = Quorum.beginEra(node.settings, Long.parseLong(args[1]));
            emit(
                    new JsonObject()
                            .add("kind", "era")
                            .add("against", refusal == null ? "" : refusal));
            System.exit(refusal == null ? 0 : 1);
        }
        node.run();
    }

    private static synchronized void emit(JsonObject event) {
        System.out.println(event);
    }

    private void run() throws IOException {
        quorum = Quorum.open(settings, List.of(new KeyCounter()), clockMicros, executor);
        emit(
                new JsonObject()
                        .add("kind", "up")
                        .add("incarnation", quorum.standing().incarnation()));
        executor.scheduleAtFixedRate(this::emitChanges, 5, 5, TimeUnit.MILLISECONDS);
        Scanner lines = new Scanner(System.in);
        while (lines.hasNextLine()) {
            String[] words = lines.nextLine().split(" ");
            executor.execute(() -> execute(words));
        }
        System.exit(0); // End of input: the test process has ended.
    }

    private void execute(String[] words) {
        if (words[0].equals("ask")) {
            Command command =
                    new Command(
                            words[1],
                            name,
                            quorum.standing().incarnation(),
                            KeyCounter.PART,
                            "add",
                            Row.of("key", words[2]));
            quorum.submit(command, 1_500_000, reply -> emit(replyEvent(words[1], words[2], reply)));
        } else if (words[0].equals("rows")) {
            JsonObject rows = new JsonObject();
            quorum.view()
                    .rows()
                    .ofPart(KeyCounter.PART)
                    .forEach((key, row) -> rows.add(key, row.integer("times")));
            emit(
                    new JsonObject()
                            .add("kind", "rows")
                            .add("index", quorum.view().moment().index())
                            .add("rows", rows));
        }
    }

    private static JsonObject replyEvent(String id, String key, ReplicatedState.Reply reply) {
        JsonObject event =
                new JsonObject()
                        .add("kind", reply.decided() ? "decided" : "undecided")
                        .add("id", id)
                        .add("key", key);
        if (reply.decided()) {
            event.add("status", reply.answer().status().name())
                    .add("times", reply.answer().fields().text("times", ""))
                    .add("fence", reply.answer().fields().text("fence", ""))
                    .add("era", reply.moment().era())
                    .add("index", reply.moment().index());
        }
        return event;
    }

    /**
     * Emits each new view with a digest of its rows, each change of standing, and each change of
     * whether the view is within its age bound.
     */
    private void emitChanges() {
        View view = quorum.view();
        if (view != lastView && view.known() && !view.moment().equals(lastView.moment())) {
            Map<String, Map<String, String>> rowsByKey = new TreeMap<>();
            view.rows()
                    .ofPart(KeyCounter.PART)
                    .forEach((key, row) -> rowsByKey.put(key, row.values()));
            emit(
                    new JsonObject()
                            .add("kind", "view")
                            .add("era", view.moment().era())
                            .add("index", view.moment().index())
                            .add("digest", Integer.toHexString(rowsByKey.hashCode())));
        }
        lastView = view;
        ReplicatedState.Standing current = quorum.standing();
        if (!current.toString().equals(lastStanding)) {
            lastStanding = current.toString();
            emit(
                    new JsonObject()
                            .add("kind", "standing")
                            .add("role", current.role().name())
                            .add("leader", current.leader() == null ? "" : current.leader())
                            .add("voters", current.voters())
                            .add("fault", current.fault() == null ? "" : current.fault()));
        }
        boolean nowFresh =
                view.known()
                        && view.ageMicros(clockMicros.getAsLong()) <= settings.maxViewAgeMicros();
        if (nowFresh != fresh) {
            fresh = nowFresh;
            emit(
                    new JsonObject()
                            .add("kind", nowFresh ? "fresh" : "stale")
                            .add("index", view.moment().index()));
        }
    }
}

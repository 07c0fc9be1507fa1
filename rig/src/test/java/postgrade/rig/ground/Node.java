package postgrade.rig.ground;

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
 * A real process that shares state and does nothing else: told on standard input, it writes what it
 * sees on standard output. Arguments: its name, its store, and the voters as it finds them, {@code
 * n1=port}; {@code era N} before them begins an era and ends.
 */
public final class Node {

    private final String name;
    private final LongSupplier micros;
    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private final QuorumSettings settings;
    private Quorum quorum;
    private View last = View.NONE;
    private String standing = "";
    private boolean fresh;

    private Node(String name, Path store, List<Voter> voters) {
        this.name = name;
        settings = QuorumSettings.withDefaults(name, voters, store);
        String clock = System.getenv("POSTGRADE_TEST_CLOCK");
        double rate = clock == null ? 1 : 1 + Long.parseLong(clock.split(",")[1]) / 1e6;
        long begun = System.nanoTime();
        micros = () -> (long) ((System.nanoTime() - begun) / 1000 * rate);
    }

    public static void main(String[] args) throws IOException {
        boolean era = args[0].equals("era");
        int from = era ? 2 : 0;
        List<Voter> voters = new ArrayList<>();
        for (int i = from + 2; i < args.length; i++) {
            String[] at = args[i].split("=");
            voters.add(new Voter(at[0], "127.0.0.1", Integer.parseInt(at[1])));
        }
        Node node = new Node(args[from], Path.of(args[from + 1]), voters);
        if (era) {
            String against = Quorum.beginEra(node.settings, Long.parseLong(args[1]));
            tell(
                    new JsonObject()
                            .add("kind", "era")
                            .add("against", against == null ? "" : against));
            System.exit(against == null ? 0 : 1);
        }
        node.run();
    }

    private static synchronized void tell(JsonObject event) {
        System.out.println(event);
    }

    private void run() throws IOException {
        quorum = Quorum.open(settings, List.of(new Tally()), micros, loop);
        tell(
                new JsonObject()
                        .add("kind", "up")
                        .add("incarnation", quorum.standing().incarnation()));
        loop.scheduleAtFixedRate(this::look, 5, 5, TimeUnit.MILLISECONDS);
        Scanner lines = new Scanner(System.in);
        while (lines.hasNextLine()) {
            String[] words = lines.nextLine().split(" ");
            loop.execute(() -> obey(words));
        }
        System.exit(0); // Whoever drives it is gone.
    }

    private void obey(String[] words) {
        if (words[0].equals("ask")) {
            Command c =
                    new Command(
                            words[1],
                            name,
                            quorum.standing().incarnation(),
                            Tally.PART,
                            "add",
                            Row.of("key", words[2]));
            quorum.submit(c, 1_500_000, reply -> tell(answered(words[1], words[2], reply)));
        } else if (words[0].equals("rows")) {
            JsonObject rows = new JsonObject();
            quorum.view()
                    .rows()
                    .ofPart(Tally.PART)
                    .forEach((key, row) -> rows.add(key, row.integer("times")));
            tell(
                    new JsonObject()
                            .add("kind", "rows")
                            .add("index", quorum.view().moment().index())
                            .add("rows", rows));
        }
    }

    private static JsonObject answered(String id, String key, ReplicatedState.Reply reply) {
        JsonObject o =
                new JsonObject()
                        .add("kind", reply.decided() ? "decided" : "undecided")
                        .add("id", id)
                        .add("key", key);
        if (reply.decided()) {
            o.add("status", reply.answer().status().name())
                    .add("times", reply.answer().fields().text("times", ""))
                    .add("fence", reply.answer().fields().text("fence", ""))
                    .add("era", reply.moment().era())
                    .add("index", reply.moment().index());
        }
        return o;
    }

    /**
     * Each new view with a digest of all that it holds, each change of standing, and whether the
     * view is within its bound.
     */
    private void look() {
        View view = quorum.view();
        if (view != last && view.known() && !view.moment().equals(last.moment())) {
            Map<String, Map<String, String>> all = new TreeMap<>();
            view.rows().ofPart(Tally.PART).forEach((key, row) -> all.put(key, row.values()));
            tell(
                    new JsonObject()
                            .add("kind", "view")
                            .add("era", view.moment().era())
                            .add("index", view.moment().index())
                            .add("digest", Integer.toHexString(all.hashCode())));
        }
        last = view;
        ReplicatedState.Standing s = quorum.standing();
        if (!s.toString().equals(standing)) {
            standing = s.toString();
            tell(
                    new JsonObject()
                            .add("kind", "standing")
                            .add("role", s.role().name())
                            .add("leader", s.leader() == null ? "" : s.leader())
                            .add("voters", s.voters())
                            .add("fault", s.fault() == null ? "" : s.fault()));
        }
        boolean now =
                view.known() && view.ageMicros(micros.getAsLong()) <= settings.maxViewAgeMicros();
        if (now != fresh) {
            fresh = now;
            tell(
                    new JsonObject()
                            .add("kind", now ? "fresh" : "stale")
                            .add("index", view.moment().index()));
        }
    }
}

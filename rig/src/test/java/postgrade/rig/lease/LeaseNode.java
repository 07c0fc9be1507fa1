package postgrade.rig.lease;

import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import postgrade.lease.LeasePart;
import postgrade.lease.LeaseTimes;
import postgrade.lease.ReservationCommands;
import postgrade.lease.ReservationView;
import postgrade.quorum.Quorum;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;

/**
 * A process that shares reservations and would use them: it says all the while for whom it would
 * send, by its own clock and view, and asks what it is told to. Stamps are the machine's monotonic
 * clock, the same in all processes.
 */
public final class LeaseNode {

    static final String WORKER = "w";

    /** Holders that only show whether grants are made at all; nothing is said of them. */
    static final String PROBE = "p";

    private static final long SAMPLE_MILLIS = 5;
    private static final long REPEAT_MICROS = 200_000;

    private final ReplicatedState sharing;
    private final LongSupplier clock;
    private final LeaseTimes times;
    private ReservationView reservations = new ReservationView(View.NONE, LeaseTimes.DEFAULT);
    private Map<String, Long> grants = Map.of();
    private String using = "";
    private String standing = "";
    private long usedMicros;
    private long saidMicros;

    private LeaseNode(ReplicatedState sharing, LongSupplier clock, LeaseTimes times) {
        this.sharing = sharing;
        this.clock = clock;
        this.times = times;
    }

    /**
     * Arguments: name, store folder, voters as name=port with commas between, parts per million of
     * the clock.
     */
    public static void main(String[] a) throws Exception {
        List<QuorumSettings.Voter> voters = new ArrayList<>();
        for (String v : a[2].split(",")) {
            String[] parts = v.split("=");
            voters.add(new QuorumSettings.Voter(parts[0], "127.0.0.1", Integer.parseInt(parts[1])));
        }
        long begun = System.nanoTime() / 1000;
        double rate = 1 + Long.parseLong(a[3]) / 1e6;
        LongSupplier clock = () -> begun + (long) ((System.nanoTime() / 1000 - begun) * rate);
        QuorumSettings settings =
                new QuorumSettings(
                        a[0],
                        0,
                        voters,
                        Path.of(a[1]),
                        LeaseTimes.DEFAULT.viewBoundMicros(),
                        500,
                        100,
                        QuorumSettings.DEFAULT_HEARTBEAT_INTERVAL_MILLIS,
                        QuorumSettings.DEFAULT_ELECTION_TIMEOUT_MILLIS);
        if (a.length > 4 && a[4].equals("begin")) {
            say(
                    "era",
                    new JsonObject().add("against", String.valueOf(Quorum.beginEra(settings, 1))));
        }
        // A process that goes on with an old view, to show that the bound on its age is needed.
        boolean heedless = Boolean.getBoolean("postgrade.test.heedless");
        LeaseTimes times =
                heedless
                        ? new LeaseTimes(100_000_000, 60_000_000, 1.03, 1_000_000)
                        : LeaseTimes.DEFAULT;
        ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
        Quorum quorum =
                Quorum.open(settings, List.of(new LeasePart(LeaseTimes.DEFAULT)), clock, loop);
        LeaseNode node = new LeaseNode(quorum, clock, times);
        loop.scheduleWithFixedDelay(node::sample, 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String told = line;
            loop.execute(() -> node.ask(told));
        }
        Runtime.getRuntime().halt(0); // The rig is gone.
    }

    private static long stamp() {
        return System.nanoTime() / 1000;
    }

    private static void say(String kind, JsonObject fields) {
        say(stamp(), kind, fields);
    }

    private static void say(long at, String kind, JsonObject fields) {
        System.out.println(fields.add("kind", kind).add("at", at));
    }

    /** ID MILLIS VERB name=value... */
    private void ask(String line) {
        String[] words = line.split(" ");
        Map<String, String> fields = new TreeMap<>();
        for (int i = 3; i < words.length; i++) {
            int eq = words[i].indexOf('=');
            fields.put(words[i].substring(0, eq), words[i].substring(eq + 1));
        }
        Command c =
                fields.containsKey("worker")
                        ? new Command(
                                words[0],
                                "rig",
                                1,
                                LeasePart.NAME,
                                words[2],
                                new postgrade.shared.Row(fields))
                        : ReservationCommands.command(words[2], words[0], "rig", 1, fields);
        sharing.submit(
                c,
                Long.parseLong(words[1]) * 1000,
                reply -> {
                    JsonObject told =
                            new JsonObject().add("id", words[0]).add("decided", reply.decided());
                    if (reply.decided()) {
                        told.add("status", reply.answer().status().name())
                                .add("text", reply.answer().text());
                        reply.answer().fields().values().forEach(told::add);
                    }
                    say("reply", told);
                });
    }

    private void sample() {
        // Of the moment at which it is decided. A process may be stopped between that and its
        // saying so, as it may be
        // between deciding to send a job and writing it: against that stands the fence, and no
        // time.
        long at = stamp();
        long now = clock.getAsLong();
        View view = sharing.view();
        if (view != reservations.view()) {
            Map<String, Long> seen = new TreeMap<>();
            for (Map<String, String> f :
                    ReservationCommands.list(view.rows(), view.moment().micros())) {
                if (f.containsKey("fence") && !f.get("holder").startsWith(PROBE)) {
                    seen.put(f.get("holder"), Long.parseLong(f.get("fence")));
                }
            }
            grants.forEach(
                    (holder, fence) -> {
                        if (!fence.equals(seen.get(holder))) {
                            say("gone", new JsonObject().add("holder", holder).add("fence", fence));
                        }
                    });
            grants = seen;
            reservations = new ReservationView(view, times);
        }
        StringBuilder may = new StringBuilder();
        for (String holder : grants.keySet()) {
            for (ReservationView.Use u : reservations.usable(now, holder, WORKER)) {
                may.append(may.length() == 0 ? "" : " ")
                        .append(holder)
                        .append(' ')
                        .append(u.mask())
                        .append(' ')
                        .append(u.fence());
            }
        }
        if (!may.toString().equals(using) || !using.isEmpty() && at - saidMicros > REPEAT_MICROS) {
            say(
                    at,
                    "use",
                    new JsonObject()
                            .add("last", usedMicros)
                            .add("now", may.toString())
                            .add("log", view.moment().micros()));
            saidMicros = at;
            using = may.toString();
        }
        usedMicros = at;
        ReplicatedState.Standing s = sharing.standing();
        String told = s.role() + " " + s.leader() + " " + s.voters();
        if (!told.equals(standing)) {
            standing = told;
            say(
                    "standing",
                    new JsonObject()
                            .add("role", s.role().name())
                            .add("leader", String.valueOf(s.leader()))
                            .add("voters", s.voters())
                            .add("fault", String.valueOf(s.fault())));
        }
    }
}

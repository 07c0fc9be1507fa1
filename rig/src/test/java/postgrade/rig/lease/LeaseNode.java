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
 * A process that takes part in the shared reservations. It reports continuously which holders'
 * grants it would use by its own clock and view, and submits the commands that it reads from its
 * input. Event times are from the machine's monotonic clock, which is the same in all processes.
 */
public final class LeaseNode {

    static final String WORKER = "w";

    /** Prefix of holders that only probe whether grants are made; their use is not reported. */
    static final String PROBE_PREFIX = "p";

    private static final long SAMPLE_INTERVAL_MILLIS = 5;
    private static final long REPORT_INTERVAL_MICROS = 200_000;

    private final ReplicatedState replicatedState;
    private final LongSupplier clock;
    private final LeaseTimes times;
    private ReservationView reservations = new ReservationView(View.NONE, LeaseTimes.DEFAULT);
    private Map<String, Long> grants = Map.of();
    private String reportedUse = "";
    private String reportedStatus = "";
    private long lastSampleMicros;
    private long lastReportMicros;

    private LeaseNode(ReplicatedState replicatedState, LongSupplier clock, LeaseTimes times) {
        this.replicatedState = replicatedState;
        this.clock = clock;
        this.times = times;
    }

    /**
     * Runs a process. Arguments: name, store folder, voters as comma-separated name=port, deviation
     * of the clock rate in parts per million and, optionally, {@code begin} to begin an era.
     */
    public static void main(String[] args) throws Exception {
        List<QuorumSettings.Voter> voters = new ArrayList<>();
        for (String voter : args[2].split(",")) {
            String[] parts = voter.split("=");
            voters.add(new QuorumSettings.Voter(parts[0], "127.0.0.1", Integer.parseInt(parts[1])));
        }
        long startMicros = System.nanoTime() / 1000;
        double rate = 1 + Long.parseLong(args[3]) / 1e6;
        LongSupplier clock =
                () -> startMicros + (long) ((System.nanoTime() / 1000 - startMicros) * rate);
        QuorumSettings settings =
                new QuorumSettings(
                        args[0],
                        0,
                        voters,
                        Path.of(args[1]),
                        LeaseTimes.DEFAULT.viewBoundMicros(),
                        500,
                        100,
                        QuorumSettings.DEFAULT_HEARTBEAT_INTERVAL_MILLIS,
                        QuorumSettings.DEFAULT_ELECTION_TIMEOUT_MILLIS);
        if (args.length > 4 && args[4].equals("begin")) {
            emit(
                    "era",
                    new JsonObject().add("against", String.valueOf(Quorum.beginEra(settings, 1))));
        }
        // Lets the process use an outdated view, to show that the bound on its age is needed.
        boolean ignoreViewAge = Boolean.getBoolean("postgrade.test.heedless");
        LeaseTimes times =
                ignoreViewAge
                        ? new LeaseTimes(100_000_000, 60_000_000, 1.03, 1_000_000)
                        : LeaseTimes.DEFAULT;
        ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
        Quorum quorum =
                Quorum.open(settings, List.of(new LeasePart(LeaseTimes.DEFAULT)), clock, loop);
        LeaseNode node = new LeaseNode(quorum, clock, times);
        loop.scheduleWithFixedDelay(node::sample, 0, SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        BufferedReader input =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            String command = line;
            loop.execute(() -> node.submit(command));
        }
        Runtime.getRuntime().halt(0); // The parent process has exited.
    }

    private static long monotonicMicros() {
        return System.nanoTime() / 1000;
    }

    private static void emit(String kind, JsonObject fields) {
        emit(monotonicMicros(), kind, fields);
    }

    private static void emit(long at, String kind, JsonObject fields) {
        System.out.println(fields.add("kind", kind).add("at", at));
    }

    /** Submits a command line of the form {@code ID MILLIS VERB name=value...}. */
    private void submit(String line) {
        String[] words = line.split(" ");
        Map<String, String> fields = new TreeMap<>();
        for (int i = 3; i < words.length; i++) {
            int eq = words[i].indexOf('=');
            fields.put(words[i].substring(0, eq), words[i].substring(eq + 1));
        }
        Command command =
                fields.containsKey("worker")
                        ? new Command(
                                words[0],
                                "rig",
                                1,
                                LeasePart.NAME,
                                words[2],
                                new postgrade.shared.Row(fields))
                        : ReservationCommands.command(words[2], words[0], "rig", 1, fields);
        replicatedState.submit(
                command,
                Long.parseLong(words[1]) * 1000,
                reply -> {
                    JsonObject event =
                            new JsonObject().add("id", words[0]).add("decided", reply.decided());
                    if (reply.decided()) {
                        event.add("status", reply.answer().status().name())
                                .add("text", reply.answer().text());
                        reply.answer().fields().values().forEach(event::add);
                    }
                    emit("reply", event);
                });
    }

    private void sample() {
        // Taken when the use is decided, not when it is reported. A process may be stopped between
        // the two, as between deciding to send a job and writing it: only the fence protects
        // against that, no time limit does.
        long at = monotonicMicros();
        long now = clock.getAsLong();
        View view = replicatedState.view();
        if (view != reservations.view()) {
            Map<String, Long> current = new TreeMap<>();
            for (Map<String, String> row :
                    ReservationCommands.list(view.rows(), view.moment().micros())) {
                if (row.containsKey("fence") && !row.get("holder").startsWith(PROBE_PREFIX)) {
                    current.put(row.get("holder"), Long.parseLong(row.get("fence")));
                }
            }
            grants.forEach(
                    (holder, fence) -> {
                        if (!fence.equals(current.get(holder))) {
                            emit(
                                    "gone",
                                    new JsonObject().add("holder", holder).add("fence", fence));
                        }
                    });
            grants = current;
            reservations = new ReservationView(view, times);
        }
        StringBuilder use = new StringBuilder();
        for (String holder : grants.keySet()) {
            for (ReservationView.Use usable : reservations.usable(now, holder, WORKER)) {
                use.append(use.length() == 0 ? "" : " ")
                        .append(holder)
                        .append(' ')
                        .append(usable.mask())
                        .append(' ')
                        .append(usable.fence());
            }
        }
        if (!use.toString().equals(reportedUse)
                || !reportedUse.isEmpty() && at - lastReportMicros > REPORT_INTERVAL_MICROS) {
            emit(
                    at,
                    "use",
                    new JsonObject()
                            .add("last", lastSampleMicros)
                            .add("now", use.toString())
                            .add("log", view.moment().micros()));
            lastReportMicros = at;
            reportedUse = use.toString();
        }
        lastSampleMicros = at;
        ReplicatedState.Standing status = replicatedState.standing();
        String statusText = status.role() + " " + status.leader() + " " + status.voters();
        if (!statusText.equals(reportedStatus)) {
            reportedStatus = statusText;
            emit(
                    "standing",
                    new JsonObject()
                            .add("role", status.role().name())
                            .add("leader", String.valueOf(status.leader()))
                            .add("voters", status.voters())
                            .add("fault", String.valueOf(status.fault())));
        }
    }
}

package postgrade.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.View;

/**
 * A simulation on virtual time from one seed: a leader whose commits are delayed; processes that
 * pull views; holders that acquire, renew, die and return; clocks up to 2% apart; leaders that are
 * killed or suspended, stalled commits and partitioned processes.
 */
final class LeaseSimulation {

    private static final long MS = 1000;
    private static final long SECOND = 1000 * MS;
    private static final int PROCESSES = 4;
    private static final int HOLDERS = 4;
    private static final int ACCELERATORS = 4;

    /** A period in which one process could use an accelerator for a holder. */
    private record UsePeriod(long from, long to, long bit, String holder, long fence) {}

    private record Task(long at, long order, Runnable run) {}

    private record Entry(
            Command command, java.util.function.Consumer<Answer> callback, boolean advancesTime) {}

    private final SplittableRandom random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final ReplicatedStateMachine machine;
    private final LeaseTimes processTimes;
    private final List<UsePeriod> usePeriods = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    private long now;
    private long order;
    private long index;

    // The quorum: at most one leader, and uncommitted entries in order.
    private final Deque<Entry> uncommitted = new ArrayDeque<>();
    private long lastAdvanceMicros;
    private boolean advancePending;
    private boolean firstAdvanceCommitted;
    private int term;
    private boolean hasLeader;
    private boolean leaderSuspended;
    private double leaderRate = 1;
    private long stalledUntil;
    int grants;
    int expiries;

    // Holders: whether each is alive, the fence that it holds, and when its last acknowledged
    // renewal was sent.
    private final boolean[] alive = new boolean[HOLDERS];
    private final long[] fence = new long[HOLDERS];
    private final long[] renewalSentAt = new long[HOLDERS];
    private final long[] incarnation = new long[HOLDERS];
    private final long[] ttl = new long[HOLDERS];

    /**
     * @param logTimes times that the log applies
     * @param processTimes times that the processes apply
     */
    LeaseSimulation(long seed, LeaseTimes logTimes, LeaseTimes processTimes) {
        random = new SplittableRandom(seed);
        machine = new ReplicatedStateMachine(1, List.of(new LeasePart(logTimes)));
        this.processTimes = processTimes;
    }

    private void schedule(long micros, Runnable run) {
        tasks.add(new Task(now + Math.max(0, micros), order++, run));
    }

    private long between(long min, long max) {
        return random.nextLong(min, max + 1);
    }

    private double clockRate() {
        return 0.99 + 0.02 * random.nextDouble();
    }

    void run(long seconds) {
        machine.apply(
                ++index,
                command(
                        "unit",
                        Row.of(
                                "worker",
                                "w",
                                "site",
                                "z",
                                "kind",
                                "k",
                                "accelerators",
                                ACCELERATORS,
                                "version",
                                1)));
        elect();
        for (int p = 0; p < PROCESSES; p++) {
            double rate = clockRate();
            long offset = between(0, 1_000_000 * SECOND);
            schedule(between(0, 200 * MS), () -> pullView(rate, offset, View.NONE));
        }
        for (int h = 0; h < HOLDERS; h++) {
            int holder = h;
            schedule(between(0, 2 * SECOND), () -> startHolder(holder));
        }
        schedule(between(1 * SECOND, 4 * SECOND), this::injectFault);
        while (!tasks.isEmpty() && tasks.peek().at < seconds * SECOND) {
            Task next = tasks.poll();
            now = next.at;
            next.run.run();
        }
        checkOverlaps();
    }

    private Command command(String verb, Row args) {
        return new Command("", "n", 1, "lease", verb, args);
    }

    // ---- The quorum.

    private void elect() {
        int electedTerm = ++term;
        hasLeader = true;
        leaderSuspended = false;
        leaderRate = clockRate();
        // The former leader's uncommitted entries are lost, except for a prefix that is kept and
        // committed with the new leader's entries.
        List<Entry> former =
                new ArrayList<>(uncommitted).subList(0, random.nextInt(uncommitted.size() + 1));
        uncommitted.clear();
        former.forEach(
                entry ->
                        uncommitted.add(
                                new Entry(entry.command, answer -> {}, entry.advancesTime)));
        lastAdvanceMicros = leaderNow();
        firstAdvanceCommitted =
                false; // The first entry adds no time: it commits the entries before it.
        advancePending = false;
        tick(electedTerm);
    }

    private long leaderNow() {
        return (long) (now * leaderRate);
    }

    private void tick(int electedTerm) {
        if (electedTerm != term) {
            return;
        }
        if (hasLeader && !leaderSuspended && !advancePending) {
            // One at a time, each from the moment at which the last one was proposed, so that its
            // commit delay is counted too.
            long at = leaderNow();
            advancePending = true;
            propose(
                    new Entry(
                            ReplicatedStateMachine.advance(
                                    "n", 1, firstAdvanceCommitted ? at - lastAdvanceMicros : 0),
                            answer -> {
                                lastAdvanceMicros = at;
                                firstAdvanceCommitted = true;
                                advancePending = false;
                            },
                            true));
        }
        schedule((long) (100 * MS / leaderRate), () -> tick(electedTerm));
    }

    private void propose(Entry entry) {
        if (!hasLeader || leaderSuspended) {
            return;
        }
        uncommitted.add(entry);
        int proposedTerm = term;
        schedule(
                Math.max(stalledUntil - now, 0) + between(MS, 20 * MS),
                () -> commit(proposedTerm, entry));
    }

    /** Entries commit in order: a committed entry commits those before it. */
    private void commit(int proposedTerm, Entry entry) {
        if (proposedTerm == term && uncommitted.contains(entry)) {
            Entry first;
            do {
                first = uncommitted.poll();
                deliver(proposedTerm, first, apply(first));
            } while (first != entry);
        }
    }

    /** A suspended leader learns of its commits once it resumes. */
    private void deliver(int proposedTerm, Entry entry, Answer answer) {
        if (proposedTerm == term && leaderSuspended) {
            schedule(10 * MS, () -> deliver(proposedTerm, entry, answer));
        } else if (proposedTerm == term) {
            entry.callback.accept(answer);
        }
    }

    private Answer apply(Entry entry) {
        Map<String, Grant> before = grantsByHolder();
        Answer answer = machine.apply(++index, entry.command);
        Map<String, Grant> after = grantsByHolder();
        after.forEach((holder, grant) -> grants += before.containsKey(holder) ? 0 : 1);
        if (entry.advancesTime) {
            before.forEach(
                    (holder, grant) -> {
                        if (!after.containsKey(holder)) {
                            checkExpiry(Integer.parseInt(holder), grant);
                        }
                    });
        }
        long granted =
                after.values().stream()
                        .mapToLong(grant -> grant.allotment().on("w"))
                        .reduce(
                                0,
                                (a, b) -> {
                                    if ((a & b) != 0) {
                                        violations.add("granted twice in the log at " + now);
                                    }
                                    return a | b;
                                });
        if (Long.bitCount(granted) > ACCELERATORS) {
            violations.add("more accelerators granted than exist at " + now);
        }
        return answer;
    }

    private Map<String, Grant> grantsByHolder() {
        Map<String, Grant> grants = new HashMap<>();
        new ReservationTable(machine.rows())
                .grants()
                .forEach(grant -> grants.put(grant.request().holder(), grant));
        return grants;
    }

    private void checkExpiry(int holder, Grant grant) {
        expiries++;
        if (fence[holder] == grant.fence()
                && now
                        < renewalSentAt[holder]
                                + (ttl[holder] - processTimes.uncommittedMicros()) / 1.03) {
            violations.add(
                    "holder "
                            + holder
                            + " expired early, "
                            + (now - renewalSentAt[holder])
                            + " us after its renewal");
        }
    }

    private void injectFault() {
        int currentTerm = term;
        switch (random.nextInt(4)) {
            case 0 -> killLeader(currentTerm);
            case 1 -> { // Suspended; on resuming it still leads or finds another leader.
                leaderSuspended = true;
                long durationMicros = between(50 * MS, 3 * SECOND);
                schedule(
                        durationMicros,
                        () -> {
                            if (currentTerm == term) {
                                leaderSuspended = false;
                            }
                        });
                if (durationMicros > 800 * MS) {
                    schedule(between(700 * MS, 800 * MS), () -> killLeader(currentTerm));
                }
            }
            case 2 -> stalledUntil = now + between(100 * MS, 6 * SECOND);
            default -> partitionedUntil = now + between(100 * MS, 8 * SECOND);
        }
        schedule(between(200 * MS, 5 * SECOND), this::injectFault);
    }

    private void killLeader(int killedTerm) {
        if (killedTerm == term) {
            hasLeader = false;
            schedule(
                    between(100 * MS, 2 * SECOND),
                    () -> {
                        if (killedTerm == term) {
                            elect();
                        }
                    });
        }
    }

    // ---- Processes with their views.

    private long partitionedUntil;

    private void pullView(double rate, long offset, View view) {
        long sent = (long) (now * rate) + offset;
        boolean lost =
                random.nextInt(PROCESSES) == 0 && now < partitionedUntil
                        || !hasLeader
                        || leaderSuspended;
        if (lost) {
            schedule((long) (200 * MS / rate), () -> pullView(rate, offset, view));
            return;
        }
        schedule(
                between(MS / 2, 30 * MS),
                () -> {
                    View pulled =
                            new View(
                                    machine.moment(),
                                    Rows.fromSnapshot(index, machine.snapshot().rows()),
                                    sent);
                    schedule(
                            between(MS / 2, random.nextInt(20) == 0 ? 1400 * MS : 30 * MS),
                            () -> {
                                recordUses(rate, offset, pulled);
                                schedule(
                                        (long) (between(100 * MS, 250 * MS) / rate),
                                        () -> pullView(rate, offset, pulled));
                            });
                });
    }

    /**
     * From now on, and at most while the view is fresh by its own clock, the process uses what this
     * view grants.
     */
    private void recordUses(double rate, long offset, View view) {
        long untilMicros =
                (long) ((view.asOfMicros() + processTimes.viewBoundMicros() - offset) / rate);
        for (Grant grant : new ReservationTable(view.rows()).grants()) {
            long mask = grant.allotment().on("w");
            for (long remaining = mask; remaining != 0; remaining &= remaining - 1) {
                if (untilMicros > now) {
                    usePeriods.add(
                            new UsePeriod(
                                    now,
                                    untilMicros,
                                    Long.lowestOneBit(remaining),
                                    grant.request().holder(),
                                    grant.fence()));
                }
            }
        }
    }

    private void checkOverlaps() {
        usePeriods.sort(Comparator.comparingLong(UsePeriod::from));
        Map<Long, Map<String, Long>> usedUntil = new HashMap<>();
        for (UsePeriod period : usePeriods) {
            Map<String, Long> byHolder =
                    usedUntil.computeIfAbsent(period.bit, b -> new HashMap<>());
            byHolder.forEach(
                    (holder, until) -> {
                        if (!holder.equals(period.holder) && until > period.from) {
                            violations.add(
                                    "accelerator "
                                            + period.bit
                                            + " used for "
                                            + period.holder
                                            + " from "
                                            + period.from
                                            + " and for "
                                            + holder
                                            + " until "
                                            + until);
                        }
                    });
            byHolder.merge(period.holder, period.to, Math::max);
        }
    }

    // ---- Holders.

    private void startHolder(int holder) {
        alive[holder] = true;
        incarnation[holder]++;
        ttl[holder] = between(2 * SECOND, 6 * SECOND);
        fence[holder] = 0;
        int accelerators = 1 + random.nextInt(ACCELERATORS);
        renewLoop(holder, incarnation[holder], clockRate(), accelerators);
        schedule(
                between(2 * SECOND, 20 * SECOND),
                () -> {
                    alive[holder] = false; // Crashes, or releases in order.
                    if (random.nextInt(3) == 0) {
                        propose(
                                new Entry(
                                        command(
                                                "release",
                                                args(holder).with("fence", fence[holder])),
                                        answer -> {},
                                        false));
                    }
                    schedule(between(100 * MS, 12 * SECOND), () -> startHolder(holder));
                });
    }

    private Row args(int holder) {
        return Row.of("holder", holder, "site", "z", "incarnation", incarnation[holder]);
    }

    private void renewLoop(int holder, long forIncarnation, double rate, int accelerators) {
        if (!alive[holder] || forIncarnation != incarnation[holder]) {
            return;
        }
        long sentAt = now;
        Row acquireArgs =
                args(holder).with("accelerators", accelerators, "ttlMs", ttl[holder] / MS);
        boolean renewing = fence[holder] != 0 && random.nextBoolean();
        Command command =
                renewing
                        ? command("renew", args(holder).with("fence", fence[holder]))
                        : command("acquire", acquireArgs);
        schedule(
                between(MS, 20 * MS),
                () ->
                        propose(
                                new Entry(
                                        command,
                                        answer -> {
                                            if (forIncarnation == incarnation[holder]
                                                    && answer.status() == Answer.Status.DONE
                                                    && answer.fields().has("fence")) {
                                                fence[holder] = answer.fields().integer("fence");
                                                renewalSentAt[holder] = sentAt;
                                            } else if (answer.status() == Answer.Status.UNKNOWN) {
                                                fence[holder] = 0;
                                            }
                                        },
                                        false)));
        schedule(
                (long) (ttl[holder] / 4 / rate),
                () -> renewLoop(holder, forIncarnation, rate, accelerators));
    }
}

package postgrade.simulation.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.simulation.check.Checks;
import postgrade.simulation.model.Message.Append;
import postgrade.simulation.model.Message.Appended;
import postgrade.simulation.model.Message.Ask;
import postgrade.simulation.model.Message.Elsewhere;
import postgrade.simulation.model.Message.Entry;
import postgrade.simulation.model.Message.Pull;
import postgrade.simulation.model.Message.Pulled;
import postgrade.simulation.model.Message.Told;
import postgrade.simulation.model.Message.Vote;
import postgrade.simulation.model.Message.Voted;

/**
 * A voter: a plain model of a replicated log with elections, only so faithful that it loses, delays
 * and reorders what a real one would. What it wrote survives a kill; a wiped one takes no part
 * before a new era.
 */
final class Voter extends Node {

    private static final long TICK = 50_000;
    private static final int MOST_ENTRIES = 200;

    private record Read(String from, Pull pull, long round, long index) {}

    private final List<String> voters;
    private final Mechanisms mechanisms;
    private final Checks checks;
    // Durable.
    private long era = 1;
    private long term;
    private String votedFor;
    private List<Entry> log = new ArrayList<>();
    private boolean wiped;
    // Gone with the process.
    private ReplicatedStateMachine machine;
    private String leader;
    private long commit;
    private long applied;
    private long electionAt;
    private final Set<String> votes = new HashSet<>();
    private final Map<String, Long> match = new HashMap<>();
    private final Map<String, Long> next = new HashMap<>();
    private final Map<String, Long> rounds = new HashMap<>();
    private final Map<Long, Told> asked = new HashMap<>();
    private final Map<Long, String> askers = new HashMap<>();
    private final List<Read> reads = new ArrayList<>();
    private long round;
    private long measuredAt;
    private long advanceIndex;
    private int ticks;

    Voter(World world, String name, List<String> voters, Mechanisms mechanisms, Checks checks) {
        super(world, name);
        this.voters = voters;
        this.mechanisms = mechanisms;
        this.checks = checks;
    }

    /** Its store is gone; it must not vote under its former identity. */
    void wipe() {
        world.tell("%s is wiped", name());
        wiped = true;
        log = new ArrayList<>();
        start();
    }

    boolean wiped() {
        return wiped;
    }

    /** An operator's step after a total loss: all voters were ended and begin with nothing. */
    void begin(long newEra) {
        era = newEra;
        term = 0;
        votedFor = null;
        wiped = false;
        log = new ArrayList<>();
        start();
    }

    boolean leads() {
        return running() && name().equals(leader);
    }

    @Override
    void started() {
        machine = new ReplicatedStateMachine(era, mechanisms.parts());
        leader = null;
        commit = 0;
        applied = 0;
        resetElection();
        tick();
    }

    @Override
    void killed() {
        reads.clear();
        asked.clear();
        askers.clear();
    }

    private void resetElection() {
        electionAt = local() + world.between(400_000, 800_000);
    }

    private void tick() {
        after(TICK, this::tick);
        if (wiped) {
            return;
        }
        ticks++;
        if (name().equals(leader)) {
            if (ticks % 4 == 0) {
                measure();
            }
            if (ticks % 2 == 0) {
                broadcast();
            }
        } else if (local() > electionAt) {
            term++;
            votedFor = name();
            leader = null;
            votes.clear();
            votes.add(name());
            resetElection();
            voters.stream()
                    .filter(v -> !v.equals(name()))
                    .forEach(v -> send(v, new Vote(era, term, log.size(), lastTerm())));
        }
    }

    /** What the leader's clock measured since it last said so. */
    private void measure() {
        long passed = local() - measuredAt;
        if (mechanisms.boundsBacklog()) {
            if (advanceIndex > commit) {
                return;
            }
            append(
                    ReplicatedStateMachine.advance(
                            name(),
                            term,
                            Math.min(passed, ReplicatedStateMachine.MAX_ADVANCE_MICROS)));
        } else {
            for (; passed > 0; passed -= ReplicatedStateMachine.MAX_ADVANCE_MICROS) {
                append(
                        ReplicatedStateMachine.advance(
                                name(),
                                term,
                                Math.min(passed, ReplicatedStateMachine.MAX_ADVANCE_MICROS)));
            }
        }
        measuredAt = local();
        advanceIndex = log.size();
    }

    private long append(Command command) {
        log.add(new Entry(term, command));
        match.put(name(), (long) log.size());
        return log.size();
    }

    private long lastTerm() {
        return log.isEmpty() ? 0 : log.get(log.size() - 1).term();
    }

    private long termOf(long index) {
        return index == 0 ? 0 : log.get((int) index - 1).term();
    }

    private void broadcast() {
        round++;
        rounds.put(name(), round);
        voters.stream().filter(v -> !v.equals(name())).forEach(this::replicate);
    }

    private void replicate(String to) {
        long from = next.getOrDefault(to, (long) log.size());
        int end = (int) Math.min(log.size(), from + MOST_ENTRIES);
        send(
                to,
                new Append(
                        era,
                        term,
                        from,
                        termOf(from),
                        List.copyOf(log.subList((int) from, end)),
                        commit,
                        round));
    }

    @Override
    void receive(String from, Message message) {
        if (message instanceof Ask a) {
            ask(from, a);
        } else if (message instanceof Pull p) {
            pull(from, p);
        } else if (wiped) {
            return;
        } else if (message instanceof Vote v && v.era() == era) {
            later(v.term());
            boolean newer =
                    v.lastTerm() > lastTerm()
                            || v.lastTerm() == lastTerm() && v.lastIndex() >= log.size();
            boolean granted =
                    v.term() == term && newer && (votedFor == null || votedFor.equals(from));
            if (granted) {
                votedFor = from;
                resetElection();
            }
            send(from, new Voted(era, term, granted));
        } else if (message instanceof Voted v && v.era() == era) {
            later(v.term());
            if (v.granted() && v.term() == term && leader == null && name().equals(votedFor)) {
                votes.add(from);
                lead();
            }
        } else if (message instanceof Append a && a.era() == era) {
            follow(from, a);
        } else if (message instanceof Appended a && a.era() == era) {
            appended(from, a);
        }
    }

    private void later(long other) {
        if (other > term) {
            term = other;
            votedFor = null;
            leader = null;
        }
    }

    private boolean majority(long count) {
        return count * 2 > voters.size();
    }

    private void lead() {
        if (!majority(votes.size())) {
            return;
        }
        world.tell("%s leads in term %d of era %d", name(), term, era);
        leader = name();
        match.clear();
        next.clear();
        rounds.clear();
        reads.clear();
        voters.forEach(v -> next.put(v, (long) log.size()));
        measuredAt = local();
        advanceIndex =
                append(
                        ReplicatedStateMachine.advance(
                                name(), term, 0)); // Commits what earlier leaders left.
        broadcast();
    }

    private void follow(String from, Append a) {
        later(a.term());
        if (a.term() < term) {
            send(from, new Appended(era, term, false, 0, a.round()));
            return;
        }
        leader = from;
        resetElection();
        if (a.previous() > log.size() || termOf(a.previous()) != a.previousTerm()) {
            send(
                    from,
                    new Appended(
                            era, term, false, Math.min(log.size(), a.previous() - 1), a.round()));
            return;
        }
        for (int i = 0; i < a.entries().size(); i++) {
            int at = (int) a.previous() + i;
            if (at < log.size() && log.get(at).term() != a.entries().get(i).term()) {
                log.subList(at, log.size()).clear();
            }
            if (at >= log.size()) {
                log.add(a.entries().get(i));
            }
        }
        long match = a.previous() + a.entries().size();
        commit = Math.max(commit, Math.min(a.commit(), match));
        apply();
        send(from, new Appended(era, term, true, match, a.round()));
    }

    private void appended(String from, Appended a) {
        later(a.term());
        if (!name().equals(leader) || a.term() != term) {
            return;
        }
        rounds.merge(from, a.round(), Math::max);
        if (a.fits()) {
            match.merge(from, a.match(), Math::max);
            next.put(from, Math.max(a.match(), match.get(from)));
        } else {
            next.put(from, Math.max(0, Math.min(a.match(), next.get(from) - 1)));
            replicate(from);
        }
        for (long i = log.size(); i > commit && termOf(i) == term; i--) {
            long index = i;
            if (majority(match.values().stream().filter(m -> m >= index).count())) {
                commit = i;
                break;
            }
        }
        apply();
        answerReads();
    }

    private void apply() {
        while (applied < commit) {
            Entry entry = log.get((int) applied++);
            Answer answer = machine.apply(applied, entry.command());
            checks.applied(name(), machine.moment(), entry.command(), answer, machine.rows());
            if (name().equals(leader)) {
                checks.views.decided(machine.moment());
            }
            String asker = askers.remove(applied);
            Told waiting = asked.remove(applied);
            if (asker != null && termOf(applied) == term && name().equals(leader)) {
                send(asker, new Told(waiting.number(), answer, machine.moment()));
            }
        }
    }

    private void ask(String from, Ask a) {
        if (wiped || !name().equals(leader) || a.era() != era) {
            send(from, new Elsewhere(a.number(), wiped ? null : leader));
            return;
        }
        long index = append(a.command());
        asked.put(index, new Told(a.number(), null, null));
        askers.put(index, from);
        voters.stream().filter(v -> !v.equals(name())).forEach(this::replicate);
    }

    private void pull(String from, Pull p) {
        if (wiped || !name().equals(leader)) {
            send(from, new Elsewhere(p.number(), wiped ? null : leader));
        } else if (!mechanisms.confirmsReads()) {
            answer(new Read(from, p, 0, 0));
        } else if (termOf(commit) == term) {
            // A round begun after this must come back from most: then nobody else had decided
            // anything before it.
            reads.add(new Read(from, p, round + 1, commit));
        }
    }

    private void answerReads() {
        List<Read> still = new ArrayList<>();
        for (Read r : reads) {
            if (majority(rounds.values().stream().filter(n -> n >= r.round).count())
                    && applied >= r.index) {
                answer(r);
            } else if (still.size() < MOST_ENTRIES) {
                still.add(r);
            }
        }
        reads.clear();
        reads.addAll(still);
    }

    private void answer(Read r) {
        Moment moment = machine.moment();
        long since = r.pull.era() == era && r.pull.index() <= moment.index() ? r.pull.index() : -1;
        var changes = since < 0 ? null : machine.rows().changesSince(since);
        send(
                r.from,
                changes == null
                        ? new Pulled(r.pull.number(), moment, -1, machine.snapshot().rows())
                        : new Pulled(r.pull.number(), moment, since, changes));
    }
}

package postgrade.sharing.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import postgrade.extension.Host;
import postgrade.member.OutOfServicePart;
import postgrade.shared.Answer.Status;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.Rows;
import postgrade.shared.View;

/**
 * Workers out, here and in the shared state. What operators say here is told until it is decided;
 * what the state says is done here. While a word of our own is under way it goes before what the
 * view still says.
 */
public final class Outs {

    private static final long WITHIN_MICROS = 1_000_000;

    /** Said here and not decided yet. */
    private static final class Word {
        private final boolean out;
        private final String requestId;
        private boolean asked;
        private boolean decided;
        private long seenFrom;

        Word(boolean out, String requestId) {
            this.out = out;
            this.requestId = requestId;
        }
    }

    private final Host host;
    private final ReplicatedState sharing;
    private final Map<String, Word> words = new HashMap<>();
    private final Set<String> known = new TreeSet<>();
    private Rows seen;
    private long said;

    public Outs(Host host, ReplicatedState sharing) {
        this.host = host;
        this.sharing = sharing;
    }

    /** They were out when this process last ran. It holds until a view says otherwise. */
    public void remember(Set<String> workers) {
        workers.forEach(
                w -> {
                    known.add(w);
                    host.enterMaintenance(w);
                });
    }

    /**
     * A process that lives, or has just ended, has told this one of it. What is not decided yet is
     * asked for here too.
     */
    public void takeUp(Former former) {
        remember(former.out());
        former.words()
                .forEach(
                        w -> {
                            words.put(w.worker(), new Word(w.out(), w.requestId()));
                            mark(w.worker(), w.out());
                        });
    }

    /** What operators have said here and no view tells yet, for the next process. */
    public List<Former.Word> words() {
        return words.entrySet().stream()
                .map(e -> new Former.Word(e.getKey(), e.getValue().out, e.getValue().requestId))
                .toList();
    }

    /** Those that this process holds to be out, for its memory. */
    public Set<String> known() {
        return Set.copyOf(known);
    }

    /** An operator has said so here, and it is done here. */
    public void said(String worker, boolean out) {
        String id =
                sharing.standing().name()
                        + "-"
                        + sharing.standing().incarnation()
                        + "-out-"
                        + ++said
                        + "-"
                        + Long.toHexString(host.monotonicMicros().getAsLong());
        words.put(worker, new Word(out, id));
        mark(worker, out);
        tick();
    }

    private void mark(String worker, boolean out) {
        if (out) {
            known.add(worker);
        } else {
            known.remove(worker);
        }
    }

    /** Called again and again. */
    public void tick() {
        View view = sharing.view();
        words.values()
                .removeIf(w -> w.decided && view.known() && view.moment().fence() >= w.seenFrom);
        if (view.known() && view.rows() != seen) {
            seen = view.rows();
            take(OutOfServicePart.outOfService(seen));
        }
        if (view.known()) {
            words.forEach(
                    (worker, w) -> {
                        if (!w.asked && !w.decided) {
                            ask(worker, w);
                        }
                    });
        }
    }

    private void take(Set<String> out) {
        for (String worker : new TreeSet<>(known)) {
            if (!out.contains(worker) && !words.containsKey(worker)) {
                known.remove(worker);
                host.exitMaintenance(worker);
            }
        }
        for (String worker : out) {
            if (!words.containsKey(worker) && known.add(worker)) {
                host.enterMaintenance(worker);
            }
        }
    }

    private void ask(String worker, Word w) {
        w.asked = true;
        String name = sharing.standing().name();
        long incarnation = sharing.standing().incarnation();
        Command c =
                w.out
                        ? OutOfServicePart.takeOutOfService(w.requestId, name, incarnation, worker)
                        : OutOfServicePart.returnToService(w.requestId, name, incarnation, worker);
        sharing.submit(
                c,
                WITHIN_MICROS,
                reply -> {
                    w.asked = false;
                    if (reply.decided()) {
                        w.decided = true;
                        // The view may be older than the word: until it has come so far it is not
                        // gone by.
                        w.seenFrom = reply.moment() == null ? 0 : reply.moment().fence();
                        if (reply.answer().status() == Status.FAULTY
                                || reply.answer().status() == Status.CONFLICT) {
                            w.seenFrom = Long.MAX_VALUE; // It cannot be told; what was said here
                            // stays here.
                        }
                    }
                });
    }
}

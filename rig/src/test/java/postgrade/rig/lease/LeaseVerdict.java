package postgrade.rig.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import postgrade.rig.check.Breach;
import postgrade.rig.check.lease.LeaseModel;
import postgrade.rig.check.lease.LeaseModel.State;
import postgrade.rig.check.lease.LeaseUseCheck;
import postgrade.rig.check.lease.LeaseUseCheck.Grant;
import postgrade.rig.check.lease.LeaseUseCheck.GrantEnd;
import postgrade.rig.check.lease.LeaseUseCheck.Use;
import postgrade.rig.check.lease.LinearizabilityChecker;
import postgrade.rig.history.History;
import postgrade.rig.lease.LeaseCalls.Call;

/**
 * Hands a run's history to the checkers. The times stand here once more, so that a change of the
 * product's shows.
 */
final class LeaseVerdict {

    static final long VIEW = 1_500_000;
    static final long REST = 3_000_000;
    static final long UNCOMMITTED = 1_000_000;
    static final double RATIO = 1.03;

    /**
     * Between two entries of the log's time, and their way to a commit, on a machine that is busy.
     */
    static final long STEP = 350_000;

    /** Without grants for longer than this, nobody led. */
    private static final long OUTAGE = 250_000;

    final List<Breach> breaches = new ArrayList<>();

    /**
     * For each grant that ended unrenewed: how long after its time to live it was last used, and
     * the bound on that.
     */
    final List<long[]> lateAndBound = new ArrayList<>();

    final Map<String, Grant> grants = new TreeMap<>();
    final int uses;
    final int judgedInOrder;

    LeaseVerdict(
            List<History.Event> events,
            List<Call> calls,
            List<Long> probesGranted,
            int accelerators,
            boolean withRefusals) {
        List<Use> used = uses(events);
        uses = used.size();
        Map<String, Long> lastOfHolder = new HashMap<>();
        for (Call c : calls) {
            take(c, lastOfHolder);
        }
        List<GrantEnd> gone = new ArrayList<>();
        for (History.Event e : events) {
            if (e.kind().equals("gone")) {
                gone.add(
                        new GrantEnd(e.number("at"), e.who(), e.text("holder"), e.number("fence")));
            }
        }
        breaches.addAll(LeaseUseCheck.mutualExclusion(used));
        breaches.addAll(
                LeaseUseCheck.noEarlyExpiry(
                        gone, List.copyOf(grants.values()), RATIO, UNCOMMITTED));
        timely(used, probesGranted);
        List<LinearizabilityChecker.Call<State>> history = inOrder(calls, withRefusals);
        judgedInOrder = history.size();
        LinearizabilityChecker.Call<State> stuck = LeaseModel.firstViolation(accelerators, history);
        if (stuck != null) {
            breaches.add(new Breach("order", stuck.sent(), "", stuck.name() + " fits nowhere"));
        }
    }

    private void take(Call c, Map<String, Long> lastOfHolder) {
        if (c.granted()) {
            Long former = lastOfHolder.put(c.holder(), c.fence());
            Grant g = grants.get(key(c.holder(), c.fence()));
            if (former != null && former != c.fence()) {
                released(
                        c.holder(),
                        former,
                        c.sent()); // Taken over by the next incarnation, unless it had ended
                // before.
            }
            grants.put(
                    key(c.holder(), c.fence()),
                    new Grant(
                            c.holder(),
                            c.fence(),
                            c.ttlMicros(),
                            c.sent(),
                            c.ended(),
                            g == null ? Long.MAX_VALUE : g.releasedMicros()));
        } else if (c.verb().equals("release") && lastOfHolder.containsKey(c.holder())) {
            released(c.holder(), lastOfHolder.get(c.holder()), c.sent());
        } else if (c.verb().equals("renew") && lastOfHolder.containsKey(c.holder()) && !c.done()) {
            Grant g = grants.get(key(c.holder(), lastOfHolder.get(c.holder())));
            breaches.addAll(
                    LeaseUseCheck.noEarlyExpiry(
                            List.of(new GrantEnd(c.ended(), "answer", g.holder(), g.fence())),
                            List.of(g),
                            RATIO,
                            UNCOMMITTED));
        }
    }

    private static String key(String holder, long fence) {
        return holder + " " + fence;
    }

    private void released(String holder, long fence, long at) {
        grants.computeIfPresent(
                key(holder, fence),
                (k, g) ->
                        new Grant(
                                holder,
                                fence,
                                g.ttlMicros(),
                                g.lastSentMicros(),
                                g.lastEndMicros(),
                                Math.min(at, g.releasedMicros())));
    }

    /** Both ends of each spell in which a process would have used something. */
    private static List<Use> uses(List<History.Event> events) {
        Map<String, String> using = new HashMap<>();
        List<Use> uses = new ArrayList<>();
        for (History.Event e : events) {
            if (e.kind().equals("begun")) {
                using.remove(e.who());
            } else if (e.kind().equals("use")) {
                String before = using.put(e.who(), e.text("now"));
                add(uses, e.who(), e.number("last"), before);
                add(uses, e.who(), e.number("at"), e.text("now"));
            }
        }
        return uses;
    }

    private static void add(List<Use> uses, String who, long at, String what) {
        String[] words = what == null || what.isEmpty() ? new String[0] : what.split(" ");
        for (int i = 0; i < words.length; i += 3) {
            for (long mask = Long.parseLong(words[i + 1]); mask != 0; mask &= mask - 1) {
                uses.add(
                        new Use(
                                at,
                                who,
                                Long.toString(Long.numberOfTrailingZeros(mask)),
                                words[i],
                                Long.parseLong(words[i + 2])));
            }
        }
    }

    private void timely(List<Use> used, List<Long> probes) {
        Map<String, Long> lastUse = new HashMap<>();
        used.forEach(u -> lastUse.merge(key(u.holder(), u.fence()), u.micros(), Math::max));
        for (Grant g : grants.values()) {
            long last = lastUse.getOrDefault(key(g.holder(), g.fence()), 0L);
            long bound =
                    (long) ((g.ttlMicros() + 2 * STEP + VIEW) * RATIO)
                            - g.ttlMicros()
                            + withoutGrants(probes, g.lastEndMicros(), last);
            List<Use> of = List.of(new Use(last, "", "", g.holder(), g.fence()));
            breaches.addAll(LeaseUseCheck.noUseAfterExpiry(of, List.of(g), bound));
            if (g.releasedMicros() > last && last > g.lastEndMicros()) {
                lateAndBound.add(new long[] {last - g.lastEndMicros() - g.ttlMicros(), bound});
            }
        }
    }

    /** For how long within a span no grants were made to anybody, since nobody led. */
    private static long withoutGrants(List<Long> probes, long from, long to) {
        long before = from;
        long all = 0;
        for (long p : probes) {
            if (p > from && before < to) {
                all += p - before > OUTAGE ? Math.min(p, to) - before : 0;
                before = p;
            }
        }
        return before < to && to - before > OUTAGE ? all + to - before : all;
    }

    // ---- One order.

    private List<LinearizabilityChecker.Call<State>> inOrder(
            List<Call> calls, boolean withRefusals) {
        List<LinearizabilityChecker.Call<State>> all = new ArrayList<>();
        Map<String, Long> asking = new HashMap<>();
        Map<String, Call> last = new HashMap<>();
        for (Call c : calls) {
            Call before = last.get(c.holder());
            boolean same = before != null && c.granted() && before.fence() == c.fence();
            if (c.granted() && !same) {
                long former = before == null ? 0 : before.fence();
                UnaryOperator<State> granted = LeaseModel.granted(c.holder(), c.fence(), c.mask());
                UnaryOperator<State> over = LeaseModel.takenOver(c.holder(), former, c.fence());
                long sent = asking.getOrDefault(c.holder(), c.sent());
                all.add(
                        new LinearizabilityChecker.Call<>(
                                "grant " + c,
                                sent,
                                c.ended(),
                                s ->
                                        s.held()
                                                        .containsKey(
                                                                new LeaseModel.Grant(
                                                                        c.holder(), former))
                                                ? over.apply(s)
                                                : granted.apply(s)));
            } else if (same) {
                all.add(
                        new LinearizabilityChecker.Call<>(
                                "renewal " + c,
                                c.sent(),
                                c.ended(),
                                LeaseModel.renewed(c.holder(), c.fence())));
            } else if (c.verb().equals("acquire")
                    && c.status().equals("CONFLICT")
                    && withRefusals) {
                all.add(
                        new LinearizabilityChecker.Call<>(
                                "refusal " + c,
                                c.sent(),
                                c.ended(),
                                LeaseModel.refused(c.accelerators())));
            } else if (c.verb().equals("release") && c.state().equals("released")) {
                all.add(
                        new LinearizabilityChecker.Call<>(
                                "release " + c,
                                c.sent(),
                                c.ended(),
                                LeaseModel.ended(c.holder(), before.fence())));
            } else if (before != null && !c.verb().equals("acquire")) {
                all.add(
                        new LinearizabilityChecker.Call<>(
                                "gone " + c,
                                c.sent(),
                                c.ended(),
                                LeaseModel.notFound(c.holder(), before.fence())));
            }
            if (c.granted()) {
                last.put(c.holder(), c);
                asking.remove(c.holder());
            } else if (c.verb().equals("acquire") && c.done()) {
                asking.putIfAbsent(c.holder(), c.sent());
            }
        }
        Map<String, Long> masks = new HashMap<>();
        calls.stream()
                .filter(Call::granted)
                .forEach(c -> masks.put(key(c.holder(), c.fence()), c.mask()));
        grants.values()
                .forEach(
                        g -> {
                            long ends =
                                    g.lastSentMicros()
                                            + (long) ((g.ttlMicros() - UNCOMMITTED) / RATIO);
                            all.add(
                                    new LinearizabilityChecker.Call<>(
                                            "expiry of " + g.fence(),
                                            ends,
                                            Long.MAX_VALUE,
                                            LeaseModel.ended(g.holder(), g.fence())));
                            long rested =
                                    Math.min(ends, g.releasedMicros())
                                            + (long) ((REST - UNCOMMITTED) / RATIO);
                            all.add(
                                    new LinearizabilityChecker.Call<>(
                                            "rest of " + g.fence(),
                                            rested,
                                            Long.MAX_VALUE,
                                            LeaseModel.rested(
                                                    masks.get(key(g.holder(), g.fence())))));
                        });
        return all;
    }
}

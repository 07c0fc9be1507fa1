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
 * Runs the checkers on the history of a run. The times are repeated here instead of being read from
 * the product, so that a change there is noticed.
 */
final class LeaseVerdict {

    static final long VIEW_BOUND_MICROS = 1_500_000;
    static final long GRACE_MICROS = 3_000_000;
    static final long UNCOMMITTED_MICROS = 1_000_000;
    static final double CLOCK_RATIO = 1.03;

    /**
     * Maximum interval between two entries that advance log time, including their commit, on a busy
     * machine.
     */
    static final long TIME_STEP_MICROS = 350_000;

    /** A longer interval without grants counts as a time without a leader. */
    private static final long OUTAGE_THRESHOLD_MICROS = 250_000;

    final List<Breach> breaches = new ArrayList<>();

    /**
     * For each expired grant: the time from its expiry to its last use, and the bound on that time.
     */
    final List<long[]> lateAndBound = new ArrayList<>();

    final Map<String, Grant> grants = new TreeMap<>();
    final int useCount;
    final int orderedCalls;

    LeaseVerdict(
            List<History.Event> events,
            List<Call> calls,
            List<Long> probeGrants,
            int accelerators,
            boolean checkRefusals) {
        List<Use> used = usesOf(events);
        useCount = used.size();
        Map<String, Long> lastOfHolder = new HashMap<>();
        for (Call call : calls) {
            recordCall(call, lastOfHolder);
        }
        List<GrantEnd> grantEnds = new ArrayList<>();
        for (History.Event event : events) {
            if (event.kind().equals("gone")) {
                grantEnds.add(
                        new GrantEnd(
                                event.number("at"),
                                event.who(),
                                event.text("holder"),
                                event.number("fence")));
            }
        }
        breaches.addAll(LeaseUseCheck.mutualExclusion(used));
        breaches.addAll(
                LeaseUseCheck.noEarlyExpiry(
                        grantEnds, List.copyOf(grants.values()), CLOCK_RATIO, UNCOMMITTED_MICROS));
        checkLateUse(used, probeGrants);
        List<LinearizabilityChecker.Call<State>> history = orderedHistory(calls, checkRefusals);
        orderedCalls = history.size();
        LinearizabilityChecker.Call<State> violation =
                LeaseModel.firstViolation(accelerators, history);
        if (violation != null) {
            breaches.add(
                    new Breach(
                            "order",
                            violation.sent(),
                            "",
                            violation.name() + " fits no linear order of the calls"));
        }
    }

    private void recordCall(Call call, Map<String, Long> lastOfHolder) {
        if (call.granted()) {
            Long formerFence = lastOfHolder.put(call.holder(), call.fence());
            Grant grant = grants.get(key(call.holder(), call.fence()));
            if (formerFence != null && formerFence != call.fence()) {
                // Taken over by the next incarnation, unless it had ended before.
                recordRelease(call.holder(), formerFence, call.sent());
            }
            grants.put(
                    key(call.holder(), call.fence()),
                    new Grant(
                            call.holder(),
                            call.fence(),
                            call.ttlMicros(),
                            call.sent(),
                            call.ended(),
                            grant == null ? Long.MAX_VALUE : grant.releasedMicros()));
        } else if (call.verb().equals("release") && lastOfHolder.containsKey(call.holder())) {
            recordRelease(call.holder(), lastOfHolder.get(call.holder()), call.sent());
        } else if (call.verb().equals("renew")
                && lastOfHolder.containsKey(call.holder())
                && !call.done()) {
            Grant grant = grants.get(key(call.holder(), lastOfHolder.get(call.holder())));
            breaches.addAll(
                    LeaseUseCheck.noEarlyExpiry(
                            List.of(
                                    new GrantEnd(
                                            call.ended(), "answer", grant.holder(), grant.fence())),
                            List.of(grant),
                            CLOCK_RATIO,
                            UNCOMMITTED_MICROS));
        }
    }

    private static String key(String holder, long fence) {
        return holder + " " + fence;
    }

    private void recordRelease(String holder, long fence, long releasedMicros) {
        grants.computeIfPresent(
                key(holder, fence),
                (k, g) ->
                        new Grant(
                                holder,
                                fence,
                                g.ttlMicros(),
                                g.lastSentMicros(),
                                g.lastEndMicros(),
                                Math.min(releasedMicros, g.releasedMicros())));
    }

    /** Returns both ends of each interval during which a process would have used a grant. */
    private static List<Use> usesOf(List<History.Event> events) {
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

    private static void add(List<Use> uses, String process, long at, String description) {
        String[] words =
                description == null || description.isEmpty()
                        ? new String[0]
                        : description.split(" ");
        for (int i = 0; i < words.length; i += 3) {
            for (long mask = Long.parseLong(words[i + 1]); mask != 0; mask &= mask - 1) {
                uses.add(
                        new Use(
                                at,
                                process,
                                Long.toString(Long.numberOfTrailingZeros(mask)),
                                words[i],
                                Long.parseLong(words[i + 2])));
            }
        }
    }

    private void checkLateUse(List<Use> used, List<Long> probeGrants) {
        Map<String, Long> lastUse = new HashMap<>();
        used.forEach(u -> lastUse.merge(key(u.holder(), u.fence()), u.micros(), Math::max));
        for (Grant grant : grants.values()) {
            long last = lastUse.getOrDefault(key(grant.holder(), grant.fence()), 0L);
            long bound =
                    (long)
                                    ((grant.ttlMicros() + 2 * TIME_STEP_MICROS + VIEW_BOUND_MICROS)
                                            * CLOCK_RATIO)
                            - grant.ttlMicros()
                            + outageMicros(probeGrants, grant.lastEndMicros(), last);
            List<Use> lastUseOfGrant =
                    List.of(new Use(last, "", "", grant.holder(), grant.fence()));
            breaches.addAll(LeaseUseCheck.noUseAfterExpiry(lastUseOfGrant, List.of(grant), bound));
            if (grant.releasedMicros() > last && last > grant.lastEndMicros()) {
                lateAndBound.add(
                        new long[] {last - grant.lastEndMicros() - grant.ttlMicros(), bound});
            }
        }
    }

    /** Returns how long, within an interval, no grants were made because there was no leader. */
    private static long outageMicros(List<Long> probeGrants, long from, long to) {
        long previous = from;
        long total = 0;
        for (long probe : probeGrants) {
            if (probe > from && previous < to) {
                total +=
                        probe - previous > OUTAGE_THRESHOLD_MICROS
                                ? Math.min(probe, to) - previous
                                : 0;
                previous = probe;
            }
        }
        return previous < to && to - previous > OUTAGE_THRESHOLD_MICROS
                ? total + to - previous
                : total;
    }

    // ---- Linearizability.

    private List<LinearizabilityChecker.Call<State>> orderedHistory(
            List<Call> calls, boolean checkRefusals) {
        List<LinearizabilityChecker.Call<State>> all = new ArrayList<>();
        Map<String, Long> firstSent = new HashMap<>();
        Map<String, Call> last = new HashMap<>();
        for (Call c : calls) {
            Call previous = last.get(c.holder());
            boolean renewal = previous != null && c.granted() && previous.fence() == c.fence();
            if (c.granted() && !renewal) {
                long former = previous == null ? 0 : previous.fence();
                UnaryOperator<State> granted = LeaseModel.granted(c.holder(), c.fence(), c.mask());
                UnaryOperator<State> takeover = LeaseModel.takenOver(c.holder(), former, c.fence());
                long sent = firstSent.getOrDefault(c.holder(), c.sent());
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
                                                ? takeover.apply(s)
                                                : granted.apply(s)));
            } else if (renewal) {
                all.add(
                        new LinearizabilityChecker.Call<>(
                                "renewal " + c,
                                c.sent(),
                                c.ended(),
                                LeaseModel.renewed(c.holder(), c.fence())));
            } else if (c.verb().equals("acquire")
                    && c.status().equals("CONFLICT")
                    && checkRefusals) {
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
                                LeaseModel.ended(c.holder(), previous.fence())));
            } else if (previous != null && !c.verb().equals("acquire")) {
                all.add(
                        new LinearizabilityChecker.Call<>(
                                "not found " + c,
                                c.sent(),
                                c.ended(),
                                LeaseModel.notFound(c.holder(), previous.fence())));
            }
            if (c.granted()) {
                last.put(c.holder(), c);
                firstSent.remove(c.holder());
            } else if (c.verb().equals("acquire") && c.done()) {
                firstSent.putIfAbsent(c.holder(), c.sent());
            }
        }
        Map<String, Long> masks = new HashMap<>();
        calls.stream()
                .filter(Call::granted)
                .forEach(c -> masks.put(key(c.holder(), c.fence()), c.mask()));
        grants.values()
                .forEach(
                        g -> {
                            long expires =
                                    g.lastSentMicros()
                                            + (long)
                                                    ((g.ttlMicros() - UNCOMMITTED_MICROS)
                                                            / CLOCK_RATIO);
                            all.add(
                                    new LinearizabilityChecker.Call<>(
                                            "expiry of " + g.fence(),
                                            expires,
                                            Long.MAX_VALUE,
                                            LeaseModel.ended(g.holder(), g.fence())));
                            long graceEnds =
                                    Math.min(expires, g.releasedMicros())
                                            + (long)
                                                    ((GRACE_MICROS - UNCOMMITTED_MICROS)
                                                            / CLOCK_RATIO);
                            all.add(
                                    new LinearizabilityChecker.Call<>(
                                            "end of grace period of " + g.fence(),
                                            graceEnds,
                                            Long.MAX_VALUE,
                                            LeaseModel.rested(
                                                    masks.get(key(g.holder(), g.fence())))));
                        });
        return all;
    }
}

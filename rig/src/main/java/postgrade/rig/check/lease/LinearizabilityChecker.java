package postgrade.rig.check.lease;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Checks whether overlapping calls have one order in which the object would give exactly these
 * answers, with each call placed between its sending and its answer. Implements the search by Wing
 * and Gong with Lowe's cache of visited states.
 */
public final class LinearizabilityChecker {

    /**
     * A call, or something that the object does by itself.
     *
     * @param answered {@link Long#MAX_VALUE} if its end is unknown: it may or may not have taken
     *     effect
     * @param effect the state after it, or null if the object could not have given this answer
     */
    public record Call<S>(String name, long sent, long answered, UnaryOperator<S> effect) {}

    private record Visited(BitSet done, Object state) {}

    private LinearizabilityChecker() {}

    /**
     * Searches for an order of the calls.
     *
     * @return null if there is such an order, else the call that fits nowhere
     */
    public static <S> Call<S> firstUnexplainedCall(S initialState, List<Call<S>> history) {
        List<Call<S>> calls = new ArrayList<>(history);
        calls.sort(Comparator.comparingLong(Call::sent));
        int n = calls.size();
        BitSet done = new BitSet(n);
        Set<Visited> visited = new HashSet<>();
        List<Integer> order = new ArrayList<>();
        List<S> states = new ArrayList<>(List.of(initialState));
        int next = 0;
        int longestOrder = 0;
        Call<S> stuck = null;
        while (true) {
            int answeredFirst = earliestAnswer(calls, done);
            if (answeredFirst < 0) {
                return null;
            }
            long bound = calls.get(answeredFirst).answered;
            S state = states.get(states.size() - 1);
            boolean advanced = false;
            for (int i = Math.max(next, done.nextClearBit(0));
                    i < n && calls.get(i).sent <= bound;
                    i++) {
                S after = done.get(i) ? null : calls.get(i).effect.apply(state);
                if (after == null) {
                    continue;
                }
                done.set(i);
                if (visited.add(new Visited((BitSet) done.clone(), after))) {
                    order.add(i);
                    states.add(after);
                    next = 0;
                    advanced = true;
                    break;
                }
                done.clear(i);
            }
            if (advanced) {
                continue;
            }
            if (order.size() >= longestOrder) {
                longestOrder = order.size();
                stuck = calls.get(answeredFirst);
            }
            if (order.isEmpty()) {
                return stuck;
            }
            int last = order.remove(order.size() - 1);
            states.remove(states.size() - 1);
            done.clear(last);
            next = last + 1;
        }
    }

    /**
     * Returns the call that was answered first among those not yet placed; -1 if none is left that
     * was answered.
     */
    private static <S> int earliestAnswer(List<Call<S>> calls, BitSet done) {
        int first = -1;
        for (int i = done.nextClearBit(0); i < calls.size(); i = done.nextClearBit(i + 1)) {
            if (first >= 0 && calls.get(i).sent > calls.get(first).answered) {
                break; // Calls are sorted by sending: no later one can have been answered earlier.
            }
            if (calls.get(i).answered < Long.MAX_VALUE
                    && (first < 0 || calls.get(i).answered < calls.get(first).answered)) {
                first = i;
            }
        }
        return first;
    }
}

package postgrade.rig.check.lease;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import postgrade.rig.check.lease.LinearizabilityChecker.Call;

/**
 * Sequential model of a store of reservations, without a clock. Accelerators are numbered; each is
 * free, held under a fence, or resting. An expiry or the end of a rest is an act of the store
 * itself, which may happen at any time once it is due.
 */
public final class LeaseModel {

    /**
     * State of the store. Accelerators are bit sets.
     *
     * @param held accelerators of each grant
     * @param resting released accelerators that may not be granted yet
     */
    public record State(long all, Map<Grant, Long> held, long resting, long highest) {

        public static State of(int accelerators) {
            return new State((1L << accelerators) - 1, Map.of(), 0, 0);
        }

        long taken() {
            return held.values().stream().reduce(resting, (a, b) -> a | b);
        }
    }

    /**
     * A holder and its fence. Two grants that are decided in the same moment may have the same
     * fence, for different accelerators.
     */
    public record Grant(String holder, long fence) implements Comparable<Grant> {
        @Override
        public int compareTo(Grant o) {
            return fence != o.fence ? Long.compare(fence, o.fence) : holder.compareTo(o.holder);
        }
    }

    private LeaseModel() {}

    public static UnaryOperator<State> granted(String holder, long fence, long mask) {
        return s ->
                (s.taken() & mask) != 0 || (mask & ~s.all) != 0 || fence < s.highest
                        ? null
                        : new State(
                                s.all,
                                with(s.held, new Grant(holder, fence), mask),
                                s.resting,
                                fence);
    }

    /**
     * The holder's next incarnation takes over the accelerators of the former one, under a fence of
     * its own.
     */
    public static UnaryOperator<State> takenOver(String holder, long former, long fence) {
        return s -> {
            Long mask = s.held.get(new Grant(holder, former));
            return mask == null || fence <= s.highest
                    ? null
                    : new State(
                            s.all,
                            with(
                                    with(s.held, new Grant(holder, former), 0),
                                    new Grant(holder, fence),
                                    mask),
                            s.resting,
                            fence);
        };
    }

    /** Refused because too few accelerators were free. */
    public static UnaryOperator<State> refused(int wanted) {
        return s -> Long.bitCount(s.all & ~s.taken()) < wanted ? s : null;
    }

    public static UnaryOperator<State> renewed(String holder, long fence) {
        return s -> s.held.containsKey(new Grant(holder, fence)) ? s : null;
    }

    /** A renewal or release that found no grant with that fence. */
    public static UnaryOperator<State> notFound(String holder, long fence) {
        return s -> s.held.containsKey(new Grant(holder, fence)) ? null : s;
    }

    /** A release or an expiry. */
    public static UnaryOperator<State> ended(String holder, long fence) {
        return s -> {
            Grant grant = new Grant(holder, fence);
            Long mask = s.held.get(grant);
            return mask == null
                    ? null
                    : new State(s.all, with(s.held, grant, 0), s.resting | mask, s.highest);
        };
    }

    public static UnaryOperator<State> rested(long mask) {
        return s ->
                (s.resting & mask) != mask
                        ? null
                        : new State(s.all, s.held, s.resting & ~mask, s.highest);
    }

    private static Map<Grant, Long> with(Map<Grant, Long> held, Grant grant, long mask) {
        Map<Grant, Long> copy = new TreeMap<>(held);
        if (mask == 0) {
            copy.remove(grant);
        } else {
            copy.put(grant, mask);
        }
        return copy;
    }

    /** Returns the first call that no order explains, or null. */
    public static Call<State> firstViolation(int accelerators, List<Call<State>> history) {
        return LinearizabilityChecker.firstUnexplainedCall(State.of(accelerators), history);
    }
}

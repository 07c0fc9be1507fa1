package postgrade.member;

import postgrade.shared.View;

/**
 * Computes the share of every rate that this process may use, from its view and its own monotonic
 * clock. One instance per process, used on its event loop.
 *
 * <p>Until its lease ends, the process uses its granted share; then at most the even share while
 * its place is reserved; then the floor, or its fallback once the view is older than a lease. All
 * of this follows from the age of the view, so it also holds for a process that is partitioned or
 * was suspended.
 */
public class EffectiveShare {

    /** Upper bound of the relative drift between the clocks of two machines. */
    public static final double MAX_CLOCK_DRIFT = 0.02;

    /**
     * Time that a leader had measured but that may not have been committed when a view was taken:
     * one advance in flight and one not yet proposed, {@link
     * postgrade.shared.ReplicatedStateMachine#MAX_ADVANCE_MICROS} each.
     */
    public static final long MAX_UNCOMMITTED_MICROS =
            2 * postgrade.shared.ReplicatedStateMachine.MAX_ADVANCE_MICROS;

    private final String name;
    private final long incarnation;
    private final MembershipTerms terms;
    private final long fallback;
    private long appliedGrantIndex;
    private View latestView = View.NONE;

    /** Its own row in the latest view; null if it has not joined. */
    private Member ownMember;

    /**
     * @param fallback share while partitioned for long, in millionths of the even share; if it is
     *     above the floor, the rates may be exceeded by the difference
     */
    public EffectiveShare(String name, long incarnation, MembershipTerms terms, long fallback) {
        if (fallback < 1 || fallback > MembershipTerms.EVEN_SHARE) {
            throw new IllegalArgumentException(
                    "fallback must lie between 1 and " + MembershipTerms.EVEN_SHARE);
        }
        this.name = name;
        this.incarnation = incarnation;
        this.terms = terms;
        this.fallback = fallback;
    }

    public EffectiveShare(String name, long incarnation, MembershipTerms terms) {
        this(name, incarnation, terms, terms.floor());
    }

    /**
     * The factor to apply to its even share: 1 is the even share. Call this before acting on the
     * view.
     */
    public double factor(View view, long nowMicros) {
        if (view.moment().after(latestView.moment())
                || view.moment().equals(latestView.moment())
                        && view.asOfMicros() > latestView.asOfMicros()) {
            if (view.rows() != latestView.rows()) {
                ownMember = Member.of(view.rows(), name);
            }
            latestView = view;
        }
        return currentShare(nowMicros) / (double) MembershipTerms.EVEN_SHARE;
    }

    private long currentShare(long nowMicros) {
        if (ownMember == null || ownMember.incarnation() != incarnation) {
            return Math.min(
                    fallback, terms.floor()); // Others may be using the rest of this place's share.
        }
        appliedGrantIndex = ownMember.grantIndex();
        long latestMicros = latestLogMicros(nowMicros);
        if (latestMicros < ownMember.leaseEndMicros()) {
            return ownMember.share();
        }
        if (latestMicros < ownMember.leaseEndMicros() + terms.lingerMicros()) {
            return Math.min(ownMember.share(), MembershipTerms.EVEN_SHARE);
        }
        // A process with a recent view is not partitioned, only late to renew: its place has been
        // reassigned, and the view shows it.
        return latestView.ageMicros(nowMicros) < terms.leaseMicros() ? terms.floor() : fallback;
    }

    /** Upper bound of the present log time. */
    long latestLogMicros(long nowMicros) {
        return latestLogMicros(latestView, nowMicros);
    }

    /** Upper bound of the present log time, for a process with this view and its own clock. */
    public static long latestLogMicros(View view, long nowMicros) {
        long age = Math.max(0, view.ageMicros(nowMicros));
        return view.moment().micros()
                + (long) Math.ceil(age * (1 + MAX_CLOCK_DRIFT))
                + MAX_UNCOMMITTED_MICROS;
    }

    /**
     * The grant that {@link #factor} last applied, reported with the next renewal; 0 before the
     * first grant.
     */
    public long appliedGrantIndex() {
        return appliedGrantIndex;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Whether a later incarnation of the same name has replaced this one. */
    public boolean isReplaced() {
        return ownMember != null && ownMember.incarnation() > incarnation;
    }
}

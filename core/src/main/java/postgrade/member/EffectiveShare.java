package postgrade.member;

import postgrade.shared.View;

/**
 * With which part of every rate this process serves, by the view it has and its own monotonic
 * clock. Kept per process, used on its loop.
 *
 * <p>Up to the end of its lease it goes by the share granted. Then by the even share at most, as
 * long as its place is kept; then by the floor, or by its fallback once its view is older than a
 * lease. It is all told from the view's age, so it holds for one that is cut off or was paused.
 */
public class EffectiveShare {

    /** Clocks of two machines run apart by this part at most. */
    public static final double MAX_CLOCK_DRIFT = 0.02;

    /**
     * What a leader measured and may not have been decided when a view was taken: one step on its
     * way, and one of which the leader has not said anything yet. {@link
     * postgrade.shared.Machine#MOST_ADVANCE_MICROS} each.
     */
    public static final long MAX_UNCOMMITTED_MICROS =
            2 * postgrade.shared.ReplicatedStateMachine.MAX_ADVANCE_MICROS;

    private final String name;
    private final long incarnation;
    private final MembershipTerms terms;
    private final long fallback;
    private long appliedGrantIndex;
    private View latestView = View.NONE;

    /** Its row there; null where it has not joined. */
    private Member ownMember;

    /**
     * @param fallback when long cut off, in millionths of the even share; what lies above the floor
     *     is the bound
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
     * The part of its even share by which to serve: 1 is the even share. Go by it before anything
     * else is done.
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
            return Math.min(fallback, terms.floor()); // Others may be using this place's rest.
        }
        appliedGrantIndex = ownMember.grantIndex();
        long latestMicros = latestLogMicros(nowMicros);
        if (latestMicros < ownMember.leaseEndMicros()) {
            return ownMember.share();
        }
        if (latestMicros < ownMember.leaseEndMicros() + terms.lingerMicros()) {
            return Math.min(ownMember.share(), MembershipTerms.EVEN_SHARE);
        }
        // One that sees the others is not cut off, only late: its place has been given away, and it
        // knows.
        return latestView.ageMicros(nowMicros) < terms.leaseMicros() ? terms.floor() : fallback;
    }

    /** The log's time is not later than this. */
    long latestLogMicros(long nowMicros) {
        return latestLogMicros(latestView, nowMicros);
    }

    /** The log's time is not later than this, for whoever has this view and a clock of its own. */
    public static long latestLogMicros(View view, long nowMicros) {
        long age = Math.max(0, view.ageMicros(nowMicros));
        return view.moment().micros()
                + (long) Math.ceil(age * (1 + MAX_CLOCK_DRIFT))
                + MAX_UNCOMMITTED_MICROS;
    }

    /**
     * The grant that {@link #factor} went by last, to be told with the next renewal; 0 before there
     * was one.
     */
    public long appliedGrantIndex() {
        return appliedGrantIndex;
    }

    public long incarnation() {
        return incarnation;
    }

    /** A later start of the same name has taken this one's place. */
    public boolean isReplaced() {
        return ownMember != null && ownMember.incarnation() > incarnation;
    }
}

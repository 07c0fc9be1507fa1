package postgrade.sharing.session;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.extension.Host;
import postgrade.log.Events;
import postgrade.member.EffectiveShare;
import postgrade.member.MembershipPart;
import postgrade.member.MembershipTerms;
import postgrade.shared.Answer.Status;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.View;

/**
 * The membership of this process: joins, renews its lease, and applies the share that its view
 * grants.
 */
public final class MembershipSession {

    private static final Logger LOG = LoggerFactory.getLogger(MembershipSession.class);

    /** Several renewals per lease, so that the lease survives the loss of some of them. */
    private static final int RENEWALS_PER_LEASE = 6;

    private final Host host;
    private final ReplicatedState state;
    private final MembershipTerms terms;
    private final long fallbackShare;
    private final long renewIntervalMicros;
    private EffectiveShare ownShare;

    /**
     * The share of the predecessor's membership, used until this process has a membership of its
     * own; null if there is no predecessor.
     */
    private EffectiveShare predecessorShare;

    private boolean joined;
    private boolean requestInFlight;
    private boolean ended;
    private long nextRequestMicros;
    private String rejectionReason;
    private double rateFactor = 1;

    /**
     * Creates a session that has not joined yet.
     *
     * @param predecessor the state that a running process of this dispatcher handed over, or null
     * @param fallbackShare the share of a member that has been unreachable for long, in millionths
     *     of the even share
     */
    public MembershipSession(
            Host host,
            ReplicatedState state,
            HandOverState predecessor,
            MembershipTerms terms,
            long fallbackShare) {
        this.host = host;
        this.state = state;
        this.terms = terms;
        this.fallbackShare = fallbackShare;
        this.predecessorShare =
                predecessor == null || predecessor.incarnation() == 0
                        ? null
                        : new EffectiveShare(
                                predecessor.name(),
                                predecessor.incarnation(),
                                terms,
                                fallbackShare);
        renewIntervalMicros = terms.leaseMicros() / RENEWALS_PER_LEASE;
    }

    /**
     * Updates the rate factor. The granted share falls as the view ages, so this is called before
     * anything is admitted, in particular after a pause.
     */
    public void updateRateFactor() {
        View view = state.view();
        long now = host.timers().nowMicros();
        double inherited =
                ended || predecessorShare == null
                        ? floorFactor()
                        : predecessorShare.factor(view, now);
        if (ended || ownShare == null) {
            rateFactor = inherited;
        } else {
            rateFactor = ownShare.factor(view, now);
            if (ownShare.appliedGrantIndex() > 0) {
                predecessorShare = null; // The view shows this process's own row.
            } else {
                rateFactor = Math.max(rateFactor, inherited);
            }
        }
        host.setRateFactor(rateFactor);
    }

    /**
     * Renews the lease or joins when that is due, and updates the rate factor, as the granted share
     * changes while the view ages. Called periodically.
     */
    public void tick() {
        long incarnation = state.standing().incarnation();
        if (incarnation == 0) {
            ownShare = null;
        } else if (ownShare == null) {
            ownShare =
                    new EffectiveShare(state.standing().name(), incarnation, terms, fallbackShare);
        }
        updateRateFactor();
        if (ended || incarnation == 0) {
            return;
        }
        View view = state.view();
        long now = host.timers().nowMicros();
        if (ownShare.isReplaced()) {
            ended = true;
            rejectionReason = "a later start of this name has taken its place";
            Events.warn(LOG, "sharing.replaced")
                    .log(rejectionReason + "; serving at the minimum share");
        } else if (view.known() && !requestInFlight && now >= nextRequestMicros) {
            submit(
                    joined
                            ? MembershipPart.renew(name(), incarnation, grantToConfirm())
                            : MembershipPart.join(name(), incarnation, terms));
        }
    }

    private double floorFactor() {
        return Math.min(fallbackShare, terms.floor()) / (double) MembershipTerms.EVEN_SHARE;
    }

    /**
     * Returns the grant to confirm with a renewal. While a second process of this dispatcher runs,
     * it uses this membership too, perhaps from an older view. No grant is confirmed until it has
     * ended, so that the rest stays reserved to the end of its lease and the sum of all rates stays
     * within the limit.
     */
    private long grantToConfirm() {
        return host.isOnlyProcess() ? ownShare.appliedGrantIndex() : 0;
    }

    private String name() {
        return state.standing().name();
    }

    private void submit(Command command) {
        requestInFlight = true;
        state.submit(
                command,
                renewIntervalMicros,
                reply -> {
                    requestInFlight = false;
                    long now = host.timers().nowMicros();
                    if (!reply.decided()) {
                        nextRequestMicros = now + renewIntervalMicros / 2;
                        return;
                    }
                    nextRequestMicros = now + renewIntervalMicros;
                    boolean done = reply.answer().status() == Status.DONE;
                    if (done != joined && done) {
                        Events.info(LOG, "sharing.joined").log("joined the members as " + name());
                    }
                    String reason =
                            done || reply.answer().status() == Status.UNKNOWN
                                    ? null
                                    : reply.answer().text();
                    if (reason != null && !reason.equals(rejectionReason)) {
                        Events.warn(LOG, "sharing.not-joined")
                                .addKeyValue("why", reason)
                                .log("not a member: " + reason);
                    }
                    rejectionReason = reason;
                    if (!done) {
                        // A renewal that finds no member: join again at once.
                        nextRequestMicros = joined ? now : nextRequestMicros;
                    }
                    joined = done;
                });
    }

    /**
     * Leaves the membership at the end of the process; the members keep its place for a while. A
     * membership that another process of this dispatcher uses is kept.
     */
    public void leave() {
        if (joined && !ended && host.isOnlyProcess()) {
            ended = true;
            state.submit(
                    MembershipPart.leave(name(), state.standing().incarnation()),
                    renewIntervalMicros,
                    reply -> {});
        }
    }

    public boolean isJoined() {
        return joined
                || predecessorShare != null
                        && predecessorShare.appliedGrantIndex() > 0
                        && !predecessorShare.isReplaced();
    }

    /**
     * Returns the incarnation under which this dispatcher is a member, through this process or its
     * predecessor; 0 if it is not a member.
     */
    public long incarnation() {
        return joined
                ? state.standing().incarnation()
                : predecessorShare == null ? 0 : predecessorShare.incarnation();
    }

    /** Returns the multiple of the even share that this process may use. */
    public double rateFactor() {
        return rateFactor;
    }

    public MembershipTerms terms() {
        return terms;
    }

    /** Returns why this process is not a member, or null. */
    public String rejectionReason() {
        return rejectionReason;
    }
}

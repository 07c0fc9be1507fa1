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
 * This process among the members: joins, renews its lease, and serves by the share that its view
 * grants.
 */
public final class MembershipSession {

    private static final Logger LOG = LoggerFactory.getLogger(MembershipSession.class);

    /** A lease lives through the loss of some renewals. */
    private static final int RENEWALS_PER_LEASE = 6;

    private final Host host;
    private final ReplicatedState state;
    private final MembershipTerms terms;
    private final long fallbackShare;
    private final long renewIntervalMicros;
    private EffectiveShare ownShare;

    /**
     * By the membership of the process that this one takes the place of, until it has its own; null
     * where there is none.
     */
    private EffectiveShare predecessorShare;

    private boolean joined;
    private boolean requestInFlight;
    private boolean ended;
    private long nextRequestMicros;
    private String rejectionReason;
    private double rateFactor = 1;

    /**
     * @param former what a running process of this dispatcher has told, or null
     * @param fallback share of one that is cut off for long, in millionths of the even share
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
     * What it is granted falls as its view grows old: asked before anything is taken in, as after a
     * pause.
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
                predecessorShare = null; // Its own row has come.
            } else {
                rateFactor = Math.max(rateFactor, inherited);
            }
        }
        host.setRateFactor(rateFactor);
    }

    /** Called again and again: what it is granted changes as its view grows old. */
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
                    .log(rejectionReason + "; serving by the least share");
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
     * Guards the sum of the rates: a second process of this dispatcher goes by this membership too,
     * by a view that may be older. While it lives no lesser share is told to be gone by, so the
     * rest stays reserved to the end of its lease.
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
                                .log("not among the members: " + reason);
                    }
                    rejectionReason = reason;
                    if (!done) {
                        nextRequestMicros =
                                joined
                                        ? now
                                        : nextRequestMicros; // A renewal that finds no member: join
                                                             // anew at
                        // once.
                    }
                    joined = done;
                });
    }

    /**
     * The process ends; its place is kept for a while. One that another process of this dispatcher
     * goes by is not left.
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
     * Under which incarnation this dispatcher is a member, by this process or the one before; 0
     * where it is not.
     */
    public long incarnation() {
        return joined
                ? state.standing().incarnation()
                : predecessorShare == null ? 0 : predecessorShare.incarnation();
    }

    /** The part of its even share by which it serves. */
    public double rateFactor() {
        return rateFactor;
    }

    public MembershipTerms terms() {
        return terms;
    }

    /** Why it is not among the members, or null. */
    public String rejectionReason() {
        return rejectionReason;
    }
}

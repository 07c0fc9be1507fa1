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
public final class Session {

    private static final Logger LOG = LoggerFactory.getLogger(Session.class);

    /** A lease lives through the loss of some renewals. */
    private static final int RENEWALS = 6;

    private final Host host;
    private final ReplicatedState sharing;
    private final MembershipTerms terms;
    private final long fallback;
    private final long renewMicros;
    private EffectiveShare shares;

    /**
     * By the membership of the process that this one takes the place of, until it has its own; null
     * where there is none.
     */
    private EffectiveShare former;

    private boolean joined;
    private boolean asking;
    private boolean ended;
    private long dueMicros;
    private String refused;
    private double factor = 1;

    /**
     * @param former what a running process of this dispatcher has told, or null
     * @param fallback share of one that is cut off for long, in millionths of the even share
     */
    public Session(
            Host host,
            ReplicatedState sharing,
            Former former,
            MembershipTerms terms,
            long fallback) {
        this.host = host;
        this.sharing = sharing;
        this.terms = terms;
        this.fallback = fallback;
        this.former =
                former == null || former.incarnation() == 0
                        ? null
                        : new EffectiveShare(former.name(), former.incarnation(), terms, fallback);
        renewMicros = terms.leaseMicros() / RENEWALS;
    }

    /**
     * What it is granted falls as its view grows old: asked before anything is taken in, as after a
     * pause.
     */
    public void look() {
        View view = sharing.view();
        long now = host.timers().nowMicros();
        double before = ended || former == null ? floor() : former.factor(view, now);
        if (ended || shares == null) {
            factor = before;
        } else {
            factor = shares.factor(view, now);
            if (shares.appliedGrantIndex() > 0) {
                former = null; // Its own row has come.
            } else {
                factor = Math.max(factor, before);
            }
        }
        host.setRateFactor(factor);
    }

    /** Called again and again: what it is granted changes as its view grows old. */
    public void tick() {
        long incarnation = sharing.standing().incarnation();
        if (incarnation == 0) {
            shares = null;
        } else if (shares == null) {
            shares = new EffectiveShare(sharing.standing().name(), incarnation, terms, fallback);
        }
        look();
        if (ended || incarnation == 0) {
            return;
        }
        View view = sharing.view();
        long now = host.timers().nowMicros();
        if (shares.isReplaced()) {
            ended = true;
            refused = "a later start of this name has taken its place";
            Events.warn(LOG, "sharing.replaced").log(refused + "; serving by the least share");
        } else if (view.known() && !asking && now >= dueMicros) {
            ask(
                    joined
                            ? MembershipPart.renew(name(), incarnation, goneBy())
                            : MembershipPart.join(name(), incarnation, terms));
        }
    }

    private double floor() {
        return Math.min(fallback, terms.floor()) / (double) MembershipTerms.EVEN_SHARE;
    }

    /**
     * Guards the sum of the rates: a second process of this dispatcher goes by this membership too,
     * by a view that may be older. While it lives no lesser share is told to be gone by, so the
     * rest stays reserved to the end of its lease.
     */
    private long goneBy() {
        return host.isOnlyProcess() ? shares.appliedGrantIndex() : 0;
    }

    private String name() {
        return sharing.standing().name();
    }

    private void ask(Command c) {
        asking = true;
        sharing.submit(
                c,
                renewMicros,
                reply -> {
                    asking = false;
                    long now = host.timers().nowMicros();
                    if (!reply.decided()) {
                        dueMicros = now + renewMicros / 2;
                        return;
                    }
                    dueMicros = now + renewMicros;
                    boolean done = reply.answer().status() == Status.DONE;
                    if (done != joined && done) {
                        Events.info(LOG, "sharing.joined").log("joined the members as " + name());
                    }
                    String why =
                            done || reply.answer().status() == Status.UNKNOWN
                                    ? null
                                    : reply.answer().text();
                    if (why != null && !why.equals(refused)) {
                        Events.warn(LOG, "sharing.not-joined")
                                .addKeyValue("why", why)
                                .log("not among the members: " + why);
                    }
                    refused = why;
                    if (!done) {
                        dueMicros =
                                joined
                                        ? now
                                        : dueMicros; // A renewal that finds no member: join anew at
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
            sharing.submit(
                    MembershipPart.leave(name(), sharing.standing().incarnation()),
                    renewMicros,
                    reply -> {});
        }
    }

    public boolean joined() {
        return joined || former != null && former.appliedGrantIndex() > 0 && !former.isReplaced();
    }

    /**
     * Under which incarnation this dispatcher is a member, by this process or the one before; 0
     * where it is not.
     */
    public long incarnation() {
        return joined
                ? sharing.standing().incarnation()
                : former == null ? 0 : former.incarnation();
    }

    /** The part of its even share by which it serves. */
    public double factor() {
        return factor;
    }

    public MembershipTerms terms() {
        return terms;
    }

    /** Why it is not among the members, or null. */
    public String refused() {
        return refused;
    }
}

package postgrade.simulation.model;

import java.util.List;
import postgrade.lease.LeasePart;
import postgrade.lease.LeaseTimes;
import postgrade.member.EffectiveShare;
import postgrade.member.MembershipPart;
import postgrade.member.MembershipTerms;
import postgrade.member.OutOfServicePart;
import postgrade.shared.StatePart;
import postgrade.window.CalendarPart;

/**
 * What the simulation drives. Tests put in one with a mechanism switched off, to see that the
 * checkers notice.
 */
public class Mechanisms {

    public List<StatePart> parts() {
        return List.of(
                members(), new OutOfServicePart(), new LeasePart(leaseTimes()), new CalendarPart());
    }

    protected StatePart members() {
        return new MembershipPart();
    }

    public EffectiveShare shares(
            String name, long incarnation, MembershipTerms terms, long fallback) {
        return new EffectiveShare(name, incarnation, terms, fallback);
    }

    public LeaseTimes leaseTimes() {
        return LeaseTimes.DEFAULT;
    }

    public long longestViewOfCalendars() {
        return CalendarPart.MAX_VIEW_AGE_MICROS;
    }

    /** Uses a holder's privilege however old the view is. */
    public boolean usesOldViews() {
        return false;
    }

    /** A reader is answered only once a majority has confirmed that whoever answers still leads. */
    public boolean confirmsReads() {
        return true;
    }

    /** The leader drops what it measured beyond one step, and has one step on its way at a time. */
    public boolean boundsBacklog() {
        return true;
    }
}

package postgrade.simulation.model;

import java.util.List;
import postgrade.lease.LeasePart;
import postgrade.lease.Times;
import postgrade.member.MemberPart;
import postgrade.member.OutPart;
import postgrade.member.Shares;
import postgrade.member.Terms;
import postgrade.shared.Part;
import postgrade.window.CalendarPart;

/**
 * What the simulation drives. Tests put in one with a mechanism switched off, to see that the
 * checkers notice.
 */
public class Mechanisms {

    public List<Part> parts() {
        return List.of(members(), new OutPart(), new LeasePart(leaseTimes()), new CalendarPart());
    }

    protected Part members() {
        return new MemberPart();
    }

    public Shares shares(String name, long incarnation, Terms terms, long fallback) {
        return new Shares(name, incarnation, terms, fallback);
    }

    public Times leaseTimes() {
        return Times.USUAL;
    }

    public long longestViewOfCalendars() {
        return CalendarPart.LONGEST_VIEW_MICROS;
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

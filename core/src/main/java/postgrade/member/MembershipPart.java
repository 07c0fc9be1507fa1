package postgrade.member;

import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * Who lives, and with which share. A process joins once it knows the state, renews its lease in
 * good time, and leaves when it ends; its row tells it its share. Whoever goes by an older
 * incarnation than the name has is turned down.
 */
public class MembershipPart implements StatePart {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,100}");

    @Override
    public String name() {
        return Member.PART;
    }

    /** Asked for once, and again whenever a renewal is answered UNKNOWN. */
    public static Command join(String name, long incarnation, MembershipTerms terms) {
        return new Command("", name, incarnation, Member.PART, "join", terms.row());
    }

    /**
     * @param grant the one gone by, from {@link EffectiveShare#appliedGrantIndex()}
     */
    public static Command renew(String name, long incarnation, long grant) {
        return new Command("", name, incarnation, Member.PART, "renew", Row.of("grant", grant));
    }

    /**
     * The process ends and starts no job any more. Its place is kept for it for a while, as after a
     * death.
     */
    public static Command leave(String name, long incarnation) {
        return new Command("", name, incarnation, Member.PART, "leave", Row.EMPTY);
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command c) {
        if (!NAME.matcher(c.from()).matches()) {
            return Answer.faulty(
                    "name must be 1 to 100 letters, digits, dots, dashes, colons or underscores");
        }
        Member m = Member.of(rows, c.from());
        if (m != null && c.incarnation() < m.incarnation()) {
            return Answer.conflict(
                    "incarnation "
                            + c.incarnation()
                            + " of "
                            + c.from()
                            + " is below "
                            + m.incarnation());
        }
        return switch (c.verb()) {
            case "join" -> join(rows, at, c, m);
            case "renew", "leave" ->
                    m == null || c.incarnation() > m.incarnation()
                            ? Answer.unknown(
                                    "name " + c.from() + " has not joined with this incarnation")
                            : c.verb().equals("renew") ? renew(rows, at, c, m) : leave(rows, at, m);
            default -> Answer.unknown("verb " + c.verb() + " is not known to members");
        };
    }

    private Answer join(Rows rows, Moment at, Command c, Member m) {
        MembershipTerms asked = MembershipTerms.of(c.args());
        MembershipTerms terms = Member.terms(rows);
        if (terms != null && !terms.equals(asked)) {
            if (Member.all(rows).stream()
                    .anyMatch(o -> o.alive(at.micros()) || o.lingers(at.micros(), terms))) {
                return Answer.conflict(
                        asked.difference(terms) + " differs from what the members agreed on");
            }
            // Nobody uses more than its floor any more; the former places go with the former terms.
            rows.ofPart(Member.PART).keySet().forEach(name -> rows.remove(Member.PART, name));
            m = null;
        }
        if (m == null && rows.count(Member.PART) >= asked.places() && !makeRoom(rows, at, asked)) {
            return Answer.conflict(
                    "name " + c.from() + " is one more than the " + asked.places() + " places");
        }
        Member.terms(rows, asked);
        long until = at.micros() + asked.leaseMicros();
        if (m != null && m.incarnation() == c.incarnation()) {
            return stored(
                    rows,
                    at,
                    back(m, at, asked).withLeaseEnd(until),
                    asked); // A join that came twice, or late.
        }
        // A former incarnation of the name has ended before this one joins, so what it held is this
        // one's; also what was
        // taken back and is in use to the end of its lease: in an upgrade this one went by the
        // former's row.
        Member joined =
                m == null
                        ? new Member(
                                c.from(), c.incarnation(), until, asked.floor(), at.index(), 0, 0)
                        : new Member(
                                c.from(),
                                c.incarnation(),
                                Math.max(m.leaseEndMicros(), until),
                                Math.min(m.share(), m.reserved(at.micros(), asked)),
                                at.index(),
                                m.alive(at.micros()) ? m.revokedShare() : 0,
                                m.alive(at.micros()) ? m.revokedUntilMicros() : 0);
        return stored(rows, at, joined, asked);
    }

    /** Forgets the one that is gone for longest. */
    private static boolean makeRoom(Rows rows, Moment at, MembershipTerms terms) {
        Member longest =
                Member.all(rows).stream()
                        .filter(m -> !m.alive(at.micros()) && !m.lingers(at.micros(), terms))
                        .min(Comparator.comparingLong(Member::leaseEndMicros))
                        .orElse(null);
        if (longest != null) {
            rows.remove(Member.PART, longest.name());
        }
        return longest != null;
    }

    private Answer renew(Rows rows, Moment at, Command c, Member m) {
        MembershipTerms terms = Member.terms(rows);
        long grant = c.args().integer("grant");
        Member now =
                m.alive(at.micros()) && grant == m.grantIndex()
                        ? m.withoutRevokedShare()
                        : back(m, at, terms);
        return stored(rows, at, now.withLeaseEnd(at.micros() + terms.leaseMicros()), terms);
    }

    /** One whose lease was over begins with what was kept for it. */
    private static Member back(Member m, Moment at, MembershipTerms terms) {
        return m.alive(at.micros())
                ? m
                : new Member(
                        m.name(),
                        m.incarnation(),
                        m.leaseEndMicros(),
                        Math.min(m.share(), m.reserved(at.micros(), terms)),
                        at.index(),
                        0,
                        0);
    }

    private Answer leave(Rows rows, Moment at, Member m) {
        Member left =
                new Member(
                        m.name(),
                        m.incarnation(),
                        Math.min(m.leaseEndMicros(), at.micros()),
                        Math.min(m.share(), MembershipTerms.EVEN_SHARE),
                        at.index(),
                        0,
                        0);
        return stored(rows, at, left, Member.terms(rows));
    }

    private Answer stored(Rows rows, Moment at, Member m, MembershipTerms terms) {
        rows.put(Member.PART, m.name(), m.row());
        settle(rows, at, terms);
        Member now = Member.of(rows, m.name());
        return Answer.done(
                "",
                Row.of(
                        "until",
                        now.leaseEndMicros(),
                        "share",
                        now.share(),
                        "grant",
                        now.grantIndex()));
    }

    @Override
    public void advance(Rows rows, Moment at) {
        MembershipTerms terms = Member.terms(rows);
        if (terms != null) {
            settle(rows, at, terms);
        }
    }

    private void settle(Rows rows, Moment at, MembershipTerms terms) {
        List<Member> before = Member.all(rows);
        List<Member> after = allocation(terms, at, before).done();
        for (int i = 0;
                i < after.size();
                i++) { // Both by name. Most of the time nothing has changed.
            if (!after.get(i).equals(before.get(i))) {
                rows.put(Member.PART, after.get(i).name(), after.get(i).row());
            }
        }
    }

    /** Tests put another in its place to see that checkers notice. */
    ShareAllocation allocation(MembershipTerms terms, Moment at, List<Member> before) {
        return new ShareAllocation(terms, at, before);
    }
}

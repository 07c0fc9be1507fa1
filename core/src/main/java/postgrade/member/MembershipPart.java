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
 * Membership and the shares of the members. A process joins once it has a view, renews its lease in
 * time and leaves when it ends; its row holds its share. A command from an older incarnation than
 * the row's is rejected.
 */
public class MembershipPart implements StatePart {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,100}");

    @Override
    public String name() {
        return Member.PART;
    }

    /** Sent once at start, and again whenever a renewal is answered UNKNOWN. */
    public static Command join(String name, long incarnation, MembershipTerms terms) {
        return new Command("", name, incarnation, Member.PART, "join", terms.row());
    }

    /**
     * Sent in time before the lease ends.
     *
     * @param grantIndex the grant that is applied, from {@link EffectiveShare#appliedGrantIndex()}
     */
    public static Command renew(String name, long incarnation, long grantIndex) {
        return new Command(
                "", name, incarnation, Member.PART, "renew", Row.of("grant", grantIndex));
    }

    /**
     * The process is ending and starts no more jobs. Its place stays reserved for a while, as after
     * a crash.
     */
    public static Command leave(String name, long incarnation) {
        return new Command("", name, incarnation, Member.PART, "leave", Row.EMPTY);
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command command) {
        if (!NAME.matcher(command.from()).matches()) {
            return Answer.faulty(
                    "name must be 1 to 100 letters, digits, dots, dashes, colons or underscores");
        }
        Member member = Member.of(rows, command.from());
        if (member != null && command.incarnation() < member.incarnation()) {
            return Answer.conflict(
                    "incarnation "
                            + command.incarnation()
                            + " of "
                            + command.from()
                            + " is below "
                            + member.incarnation());
        }
        return switch (command.verb()) {
            case "join" -> join(rows, at, command, member);
            case "renew", "leave" ->
                    member == null || command.incarnation() > member.incarnation()
                            ? Answer.unknown(
                                    "name "
                                            + command.from()
                                            + " has not joined with this incarnation")
                            : command.verb().equals("renew")
                                    ? renew(rows, at, command, member)
                                    : leave(rows, at, member);
            default -> Answer.unknown("verb " + command.verb() + " is not known to members");
        };
    }

    private Answer join(Rows rows, Moment at, Command command, Member member) {
        MembershipTerms requested = MembershipTerms.of(command.args());
        MembershipTerms terms = Member.terms(rows);
        if (terms != null && !terms.equals(requested)) {
            if (Member.all(rows).stream()
                    .anyMatch(
                            other ->
                                    other.alive(at.micros())
                                            || other.lingers(at.micros(), terms))) {
                return Answer.conflict(
                        requested.firstDifference(terms)
                                + " differs from what the members agreed on");
            }
            // No process uses more than its floor any more; the former places are dropped with the
            // former terms.
            rows.ofPart(Member.PART).keySet().forEach(name -> rows.remove(Member.PART, name));
            member = null;
        }
        if (member == null
                && rows.count(Member.PART) >= requested.places()
                && !evictLongestExpired(rows, at, requested)) {
            return Answer.conflict(
                    "name "
                            + command.from()
                            + " is one more than the "
                            + requested.places()
                            + " places");
        }
        Member.terms(rows, requested);
        long leaseEndMicros = at.micros() + requested.leaseMicros();
        if (member != null && member.incarnation() == command.incarnation()) {
            return storeAndReallocate(
                    rows,
                    at,
                    resumeIfExpired(member, at, requested).withLeaseEnd(leaseEndMicros),
                    requested); // A join that was repeated or delayed.
        }
        // A former incarnation of the name has ended before this one joins, so its share passes to
        // this one. So does a revoked share that is in use until the end of its lease: during an
        // upgrade this process applied the former incarnation's row.
        Member joined =
                member == null
                        ? new Member(
                                command.from(),
                                command.incarnation(),
                                leaseEndMicros,
                                requested.floor(),
                                at.index(),
                                0,
                                0)
                        : new Member(
                                command.from(),
                                command.incarnation(),
                                Math.max(member.leaseEndMicros(), leaseEndMicros),
                                Math.min(member.share(), member.reserved(at.micros(), requested)),
                                at.index(),
                                member.alive(at.micros()) ? member.revokedShare() : 0,
                                member.alive(at.micros()) ? member.revokedUntilMicros() : 0);
        return storeAndReallocate(rows, at, joined, requested);
    }

    /** Evicts the member whose lease expired first. */
    private static boolean evictLongestExpired(Rows rows, Moment at, MembershipTerms terms) {
        Member longestExpired =
                Member.all(rows).stream()
                        .filter(m -> !m.alive(at.micros()) && !m.lingers(at.micros(), terms))
                        .min(Comparator.comparingLong(Member::leaseEndMicros))
                        .orElse(null);
        if (longestExpired != null) {
            rows.remove(Member.PART, longestExpired.name());
        }
        return longestExpired != null;
    }

    private Answer renew(Rows rows, Moment at, Command command, Member member) {
        MembershipTerms terms = Member.terms(rows);
        long grantIndex = command.args().integer("grant");
        Member updated =
                member.alive(at.micros()) && grantIndex == member.grantIndex()
                        ? member.withoutRevokedShare()
                        : resumeIfExpired(member, at, terms);
        return storeAndReallocate(
                rows, at, updated.withLeaseEnd(at.micros() + terms.leaseMicros()), terms);
    }

    /** A member whose lease has expired resumes with the share that was reserved for it. */
    private static Member resumeIfExpired(Member member, Moment at, MembershipTerms terms) {
        return member.alive(at.micros())
                ? member
                : new Member(
                        member.name(),
                        member.incarnation(),
                        member.leaseEndMicros(),
                        Math.min(member.share(), member.reserved(at.micros(), terms)),
                        at.index(),
                        0,
                        0);
    }

    private Answer leave(Rows rows, Moment at, Member member) {
        Member left =
                new Member(
                        member.name(),
                        member.incarnation(),
                        Math.min(member.leaseEndMicros(), at.micros()),
                        Math.min(member.share(), MembershipTerms.EVEN_SHARE),
                        at.index(),
                        0,
                        0);
        return storeAndReallocate(rows, at, left, Member.terms(rows));
    }

    private Answer storeAndReallocate(Rows rows, Moment at, Member member, MembershipTerms terms) {
        rows.put(Member.PART, member.name(), member.row());
        reallocate(rows, at, terms);
        Member updated = Member.of(rows, member.name());
        return Answer.done(
                "",
                Row.of(
                        "until",
                        updated.leaseEndMicros(),
                        "share",
                        updated.share(),
                        "grant",
                        updated.grantIndex()));
    }

    @Override
    public void advance(Rows rows, Moment at) {
        MembershipTerms terms = Member.terms(rows);
        if (terms != null) {
            reallocate(rows, at, terms);
        }
    }

    private void reallocate(Rows rows, Moment at, MembershipTerms terms) {
        List<Member> before = Member.all(rows);
        List<Member> after = allocation(terms, at, before).result();
        for (int i = 0;
                i < after.size();
                i++) { // Both lists are ordered by name. Usually nothing has changed.
            if (!after.get(i).equals(before.get(i))) {
                rows.put(Member.PART, after.get(i).name(), after.get(i).row());
            }
        }
    }

    /** Overridden in tests to verify that the checkers detect a faulty allocation. */
    ShareAllocation allocation(MembershipTerms terms, Moment at, List<Member> before) {
        return new ShareAllocation(terms, at, before);
    }
}

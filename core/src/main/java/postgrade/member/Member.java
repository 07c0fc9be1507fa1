package postgrade.member;

import java.util.ArrayList;
import java.util.List;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * A process that has joined, as its row describes it.
 *
 * @param incarnation grows with each start of the process
 * @param leaseEndMicros log time at which its lease ends unless it is renewed
 * @param share granted, in millionths of the even share
 * @param grantIndex the entry that last changed the share; the member reports it back once it
 *     applies that share
 * @param revokedShare a greater share that was revoked and may still be in use; 0 if there is none
 * @param revokedUntilMicros log time from which the revoked share is no longer in use
 */
public record Member(
        String name,
        long incarnation,
        long leaseEndMicros,
        long share,
        long grantIndex,
        long revokedShare,
        long revokedUntilMicros) {

    static final String PART = "member";
    private static final String TERMS = "member.terms";

    static Member of(String name, Row row) {
        return new Member(
                name,
                row.integer("incarnation"),
                row.integer("until"),
                row.integer("share"),
                row.integer("grant"),
                row.integer("held", 0),
                row.integer("heldUntil", 0));
    }

    Row row() {
        Row row =
                Row.of(
                        "incarnation",
                        incarnation,
                        "until",
                        leaseEndMicros,
                        "share",
                        share,
                        "grant",
                        grantIndex);
        return revokedShare == 0
                ? row
                : row.with("held", revokedShare, "heldUntil", revokedUntilMicros);
    }

    /** All members that joined and were not evicted since, by name. */
    public static List<Member> all(Rows rows) {
        List<Member> all = new ArrayList<>();
        rows.ofPart(PART).forEach((name, row) -> all.add(of(name, row)));
        return all;
    }

    /** The member of that name, or null if none has joined. */
    public static Member of(Rows rows, String name) {
        Row row = rows.get(PART, name);
        return row == null ? null : of(name, row);
    }

    /** The terms that the members agreed on; null before the first one joined. */
    public static MembershipTerms terms(Rows rows) {
        Row row = rows.get(TERMS, "");
        return row == null ? null : MembershipTerms.of(row);
    }

    static void terms(Rows rows, MembershipTerms terms) {
        rows.put(TERMS, "", terms.row());
    }

    /** The number of members whose lease has not expired; the rates are split among them. */
    public static int alive(Rows rows, long micros) {
        return (int) all(rows).stream().filter(member -> member.alive(micros)).count();
    }

    public boolean alive(long micros) {
        return micros < leaseEndMicros;
    }

    /** Whether its lease has expired but its place is still reserved for it. */
    public boolean lingers(long micros, MembershipTerms terms) {
        return !alive(micros) && micros < leaseEndMicros + terms.lingerMicros();
    }

    /** The greatest share that the process may be using at this log time. */
    long reserved(long micros, MembershipTerms terms) {
        if (alive(micros)) {
            return micros < revokedUntilMicros ? Math.max(share, revokedShare) : share;
        }
        return lingers(micros, terms) ? Math.min(share, MembershipTerms.EVEN_SHARE) : terms.floor();
    }

    Member withShare(long newShare, long index) {
        boolean shrinks = newShare < share;
        return new Member(
                name,
                incarnation,
                leaseEndMicros,
                newShare,
                index,
                shrinks ? Math.max(revokedShare, share) : revokedShare,
                shrinks ? Math.max(revokedUntilMicros, leaseEndMicros) : revokedUntilMicros);
    }

    Member withLeaseEnd(long newEndMicros) {
        return new Member(
                name,
                incarnation,
                Math.max(leaseEndMicros, newEndMicros),
                share,
                grantIndex,
                revokedShare,
                revokedUntilMicros);
    }

    /** The member applies its present share: no greater one is in use any more. */
    Member withoutRevokedShare() {
        return new Member(name, incarnation, leaseEndMicros, share, grantIndex, 0, 0);
    }
}

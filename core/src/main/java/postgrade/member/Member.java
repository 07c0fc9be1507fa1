package postgrade.member;

import java.util.ArrayList;
import java.util.List;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * A process that joined, as its row tells it.
 *
 * @param incarnation grows with each start of the process
 * @param until its lease ends then, by the log's time, unless it is renewed
 * @param share granted, in millionths of the even share
 * @param grant the entry that last changed the share; the member tells it back once it goes by it
 * @param held more than the share where a greater one was taken back and may still be in use
 * @param heldUntil by then at the latest it is not used any more
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

    /** All that ever joined and were not forgotten since, by name. */
    public static List<Member> all(Rows rows) {
        List<Member> all = new ArrayList<>();
        rows.ofPart(PART).forEach((name, row) -> all.add(of(name, row)));
        return all;
    }

    /** Null where none of that name has joined. */
    public static Member of(Rows rows, String name) {
        Row row = rows.get(PART, name);
        return row == null ? null : of(name, row);
    }

    /** What the members agreed on; null before the first joined. */
    public static MembershipTerms terms(Rows rows) {
        Row row = rows.get(TERMS, "");
        return row == null ? null : MembershipTerms.of(row);
    }

    static void terms(Rows rows, MembershipTerms terms) {
        rows.put(TERMS, "", terms.row());
    }

    /** How many renewed in time: over these the rates are split. */
    public static int alive(Rows rows, long micros) {
        return (int) all(rows).stream().filter(member -> member.alive(micros)).count();
    }

    public boolean alive(long micros) {
        return micros < leaseEndMicros;
    }

    /** Silent, but its place is still kept for it. */
    public boolean lingers(long micros, MembershipTerms terms) {
        return !alive(micros) && micros < leaseEndMicros + terms.lingerMicros();
    }

    /** The most that the process may be using while the log stands at this time. */
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

    /** It goes by its present share: nothing greater is in use any more. */
    Member withoutRevokedShare() {
        return new Member(name, incarnation, leaseEndMicros, share, grantIndex, 0, 0);
    }
}

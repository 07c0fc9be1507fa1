package postgrade.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import postgrade.shared.Moment;

/**
 * Allocates the total share among the live members. What a member may still be using is reserved
 * for it, and only the unreserved rest is granted. A share therefore grows only after other members
 * have confirmed a smaller one or their leases have expired.
 */
class ShareAllocation {

    private final MembershipTerms terms;
    private final Moment at;
    private final SortedMap<String, Member> members = new TreeMap<>();

    ShareAllocation(MembershipTerms terms, Moment at, List<Member> previous) {
        this.terms = terms;
        this.at = at;
        previous.forEach(member -> members.put(member.name(), applyExpiry(member)));
    }

    /** Changes caused by time alone: a lease or a linger has ended. */
    private Member applyExpiry(Member member) {
        long now = at.micros();
        if (!member.alive(now)) {
            long limit = member.lingers(now, terms) ? MembershipTerms.EVEN_SHARE : terms.floor();
            if (member.share() > limit || member.revokedShare() > 0) {
                return new Member(
                        member.name(),
                        member.incarnation(),
                        member.leaseEndMicros(),
                        Math.min(member.share(), limit),
                        at.index(),
                        0,
                        0);
            }
        }
        return now >= member.revokedUntilMicros() && member.revokedShare() > 0
                ? member.withoutRevokedShare()
                : member;
    }

    /** The members after the allocation. */
    List<Member> result() {
        long now = at.micros();
        List<Member> alive = new ArrayList<>();
        long reserved = (terms.places() - members.size()) * reservePerUnjoinedPlace();
        for (Member member : members.values()) {
            if (member.alive(now)) {
                alive.add(member);
            } else {
                reserved += member.reserved(now, terms);
            }
        }
        if (!alive.isEmpty() && !inQuietPeriod()) {
            long target = Math.max(terms.floor(), (terms.totalShare() - reserved) / alive.size());
            alive.forEach(member -> lower(member, target));
            raise(alive, target);
        }
        return List.copyOf(members.values());
    }

    private void lower(Member member, long target) {
        if (member.share() > target) {
            members.put(member.name(), member.withShare(target, at.index()));
        }
    }

    /** Raises the smallest shares first. */
    private void raise(List<Member> alive, long target) {
        long unreserved = unreserved();
        List<Member> smallestFirst = new ArrayList<>(alive);
        smallestFirst.sort(Comparator.comparingLong(Member::share).thenComparing(Member::name));
        for (Member candidate : smallestFirst) {
            Member member = members.get(candidate.name());
            // A revoked share that it may still use is already reserved for it.
            long stillReserved = Math.max(0, member.reserved(at.micros(), terms) - member.share());
            long increase = Math.min(target - member.share(), unreserved + stillReserved);
            if (increase > 0) {
                members.put(member.name(), member.withShare(member.share() + increase, at.index()));
                unreserved -= Math.max(0, increase - stillReserved);
            }
        }
    }

    /** The share that is reserved for no member. */
    long unreserved() {
        long unreserved =
                terms.totalShare() - (terms.places() - members.size()) * reservePerUnjoinedPlace();
        for (Member member : members.values()) {
            unreserved -= member.reserved(at.micros(), terms);
        }
        return unreserved;
    }

    /**
     * Reserved for each place whose process has not joined: it may be partitioned and use a share
     * from before this era.
     */
    private long reservePerUnjoinedPlace() {
        long lastUseMicros = (at.era() > 1 ? terms.leaseMicros() : 0) + terms.lingerMicros();
        return at.micros() < lastUseMicros ? MembershipTerms.EVEN_SHARE : terms.floor();
    }

    /**
     * Shares of any size from an earlier era may still be in use: nothing is granted until their
     * leases have ended.
     */
    private boolean inQuietPeriod() {
        return at.era() > 1 && at.micros() < terms.leaseMicros() && members.size() < terms.places();
    }
}

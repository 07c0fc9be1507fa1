package postgrade.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import postgrade.shared.Moment;

/**
 * Splits the whole over who lives. What a member may still be using is reserved for it; only what
 * is reserved for nobody is granted. So a share that grows waits until others were seen to shrink
 * or their leases are over.
 */
class ShareAllocation {

    private final MembershipTerms terms;
    private final Moment at;
    private final SortedMap<String, Member> members = new TreeMap<>();

    ShareAllocation(MembershipTerms terms, Moment at, List<Member> before) {
        this.terms = terms;
        this.at = at;
        before.forEach(m -> members.put(m.name(), after(m)));
    }

    /** What changes of itself: a lease or a linger is over. */
    private Member after(Member m) {
        long now = at.micros();
        if (!m.alive(now)) {
            long most = m.lingers(now, terms) ? MembershipTerms.EVEN_SHARE : terms.floor();
            if (m.share() > most || m.revokedShare() > 0) {
                return new Member(
                        m.name(),
                        m.incarnation(),
                        m.leaseEndMicros(),
                        Math.min(m.share(), most),
                        at.index(),
                        0,
                        0);
            }
        }
        return now >= m.revokedUntilMicros() && m.revokedShare() > 0 ? m.withoutRevokedShare() : m;
    }

    /** The members as they stand afterwards. */
    List<Member> done() {
        long now = at.micros();
        List<Member> alive = new ArrayList<>();
        long kept = (terms.places() - members.size()) * unseen();
        for (Member m : members.values()) {
            if (m.alive(now)) {
                alive.add(m);
            } else {
                kept += m.reserved(now, terms);
            }
        }
        if (!alive.isEmpty() && !quiet()) {
            long target = Math.max(terms.floor(), (terms.whole() - kept) / alive.size());
            alive.forEach(m -> lower(m, target));
            raise(alive, target);
        }
        return List.copyOf(members.values());
    }

    private void lower(Member m, long target) {
        if (m.share() > target) {
            members.put(m.name(), m.with(target, at.index()));
        }
    }

    /** Those that have least first. */
    private void raise(List<Member> alive, long target) {
        long free = free();
        List<Member> least = new ArrayList<>(alive);
        least.sort(Comparator.comparingLong(Member::share).thenComparing(Member::name));
        for (Member was : least) {
            Member m = members.get(was.name());
            // What it may still use of a greater share is its own already.
            long spare = Math.max(0, m.reserved(at.micros(), terms) - m.share());
            long more = Math.min(target - m.share(), free + spare);
            if (more > 0) {
                members.put(m.name(), m.with(m.share() + more, at.index()));
                free -= Math.max(0, more - spare);
            }
        }
    }

    /** What is reserved for nobody. */
    long free() {
        long free = terms.whole() - (terms.places() - members.size()) * unseen();
        for (Member m : members.values()) {
            free -= m.reserved(at.micros(), terms);
        }
        return free;
    }

    /**
     * Whoever holds a place and has not joined: it may be cut off, with a share from before the
     * era.
     */
    private long unseen() {
        long lastUsed = (at.era() > 1 ? terms.leaseMicros() : 0) + terms.lingerMicros();
        return at.micros() < lastUsed ? MembershipTerms.EVEN_SHARE : terms.floor();
    }

    /**
     * Shares of an earlier era may still be in use, of any size: nothing is granted until their
     * leases are over.
     */
    private boolean quiet() {
        return at.era() > 1 && at.micros() < terms.leaseMicros() && members.size() < terms.places();
    }
}

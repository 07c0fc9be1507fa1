package postgrade.member;

import java.util.List;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;
import postgrade.shared.View;

/** Members with one mechanism switched off each, to see that the checkers notice. */
public final class Broken {

    private Broken() {}

    private abstract static class WithSplit extends MembershipPart {
        abstract Member seen(Member m, Moment at, MembershipTerms terms);

        @Override
        ShareAllocation allocation(MembershipTerms terms, Moment at, List<Member> before) {
            return new ShareAllocation(
                    terms, at, before.stream().map(m -> seen(m, at, terms)).toList());
        }
    }

    /**
     * Takes a share back and gives it away at once, without waiting until its holder was seen to go
     * by less.
     */
    public static StatePart growsWithoutWaiting() {
        return new WithSplit() {
            @Override
            Member seen(Member m, Moment at, MembershipTerms terms) {
                return m.withoutRevokedShare();
            }
        };
    }

    /** Gives the place of a silent member away as soon as its lease is over. */
    public static StatePart doesNotLinger() {
        return new WithSplit() {
            @Override
            Member seen(Member m, Moment at, MembershipTerms terms) {
                return m.alive(at.micros())
                        ? m
                        : new Member(
                                m.name(),
                                m.incarnation(),
                                Math.min(m.leaseEndMicros(), at.micros() - terms.lingerMicros()),
                                m.share(),
                                m.grantIndex(),
                                0,
                                0);
            }
        };
    }

    /** An older incarnation is let in. */
    public static StatePart forgetsIncarnations() {
        return new MembershipPart() {
            @Override
            public Answer apply(Rows rows, Moment at, Command c) {
                Member m = Member.of(rows, c.from());
                if (m != null && c.incarnation() < m.incarnation()) {
                    rows.put(
                            Member.PART,
                            m.name(),
                            new Member(
                                            m.name(),
                                            c.incarnation(),
                                            m.leaseEndMicros(),
                                            m.share(),
                                            m.grantIndex(),
                                            m.revokedShare(),
                                            m.revokedUntilMicros())
                                    .row());
                }
                return super.apply(rows, at, c);
            }
        };
    }

    /** Ends leases half a lease early. */
    public static StatePart expiresEarly() {
        return new WithSplit() {
            @Override
            Member seen(Member m, Moment at, MembershipTerms terms) {
                return m.leaseEndMicros() - at.micros() > terms.leaseMicros() / 2
                        ? m
                        : new Member(
                                m.name(),
                                m.incarnation(),
                                Math.min(m.leaseEndMicros(), at.micros()),
                                m.share(),
                                m.grantIndex(),
                                m.revokedShare(),
                                m.revokedUntilMicros());
            }
        };
    }

    /** Goes by the last share that it saw, however long ago. */
    public static EffectiveShare neverFalls(String name, long incarnation, MembershipTerms terms) {
        return new EffectiveShare(name, incarnation, terms) {
            @Override
            long latestLogMicros(long nowMicros) {
                return 0;
            }
        };
    }

    /** Reckons as if clocks ran alike and a view told what every leader has measured. */
    public static EffectiveShare ignoresDriftAndBacklog(
            String name, long incarnation, MembershipTerms terms) {
        return new EffectiveShare(name, incarnation, terms) {
            private View last = View.NONE;

            @Override
            public double factor(View view, long nowMicros) {
                last = view;
                return super.factor(view, nowMicros);
            }

            @Override
            long latestLogMicros(long nowMicros) {
                return last.moment().micros() + last.ageMicros(nowMicros);
            }
        };
    }
}

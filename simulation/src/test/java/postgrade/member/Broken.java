package postgrade.member;

import java.util.List;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.Part;
import postgrade.shared.Rows;
import postgrade.shared.View;

/** Members with one mechanism switched off each, to see that the checkers notice. */
public final class Broken {

    private Broken() {}

    private abstract static class WithSplit extends MemberPart {
        abstract Member seen(Member m, Moment at, Terms terms);

        @Override
        Split split(Terms terms, Moment at, List<Member> before) {
            return new Split(terms, at, before.stream().map(m -> seen(m, at, terms)).toList());
        }
    }

    /**
     * Takes a share back and gives it away at once, without waiting until its holder was seen to go
     * by less.
     */
    public static Part growsWithoutWaiting() {
        return new WithSplit() {
            @Override
            Member seen(Member m, Moment at, Terms terms) {
                return m.settled();
            }
        };
    }

    /** Gives the place of a silent member away as soon as its lease is over. */
    public static Part doesNotLinger() {
        return new WithSplit() {
            @Override
            Member seen(Member m, Moment at, Terms terms) {
                return m.alive(at.micros())
                        ? m
                        : new Member(
                                m.name(),
                                m.incarnation(),
                                Math.min(m.until(), at.micros() - terms.lingerMicros()),
                                m.share(),
                                m.grant(),
                                0,
                                0);
            }
        };
    }

    /** An older incarnation is let in. */
    public static Part forgetsIncarnations() {
        return new MemberPart() {
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
                                            m.until(),
                                            m.share(),
                                            m.grant(),
                                            m.held(),
                                            m.heldUntil())
                                    .row());
                }
                return super.apply(rows, at, c);
            }
        };
    }

    /** Ends leases half a lease early. */
    public static Part expiresEarly() {
        return new WithSplit() {
            @Override
            Member seen(Member m, Moment at, Terms terms) {
                return m.until() - at.micros() > terms.leaseMicros() / 2
                        ? m
                        : new Member(
                                m.name(),
                                m.incarnation(),
                                Math.min(m.until(), at.micros()),
                                m.share(),
                                m.grant(),
                                m.held(),
                                m.heldUntil());
            }
        };
    }

    /** Goes by the last share that it saw, however long ago. */
    public static Shares neverFalls(String name, long incarnation, Terms terms) {
        return new Shares(name, incarnation, terms) {
            @Override
            long latest(long nowMicros) {
                return 0;
            }
        };
    }

    /** Reckons as if clocks ran alike and a view told what every leader has measured. */
    public static Shares ignoresDriftAndBacklog(String name, long incarnation, Terms terms) {
        return new Shares(name, incarnation, terms) {
            private View last = View.NONE;

            @Override
            public double factor(View view, long nowMicros) {
                last = view;
                return super.factor(view, nowMicros);
            }

            @Override
            long latest(long nowMicros) {
                return last.moment().micros() + last.ageMicros(nowMicros);
            }
        };
    }
}

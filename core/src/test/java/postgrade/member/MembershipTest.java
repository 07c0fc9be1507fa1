package postgrade.member;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import postgrade.shared.Answer;
import postgrade.shared.Answer.Status;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Rows;
import postgrade.shared.View;

/**
 * Membership and shares: a share grows when other members die, shrinks before one returns, and
 * falls by the process's own clock.
 */
public class MembershipTest {

    private static final long EVEN = MembershipTerms.EVEN_SHARE;
    private static final MembershipTerms TERMS = MembershipTerms.of(4);
    private static final long STEP_MICROS = 250_000;

    private ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new MembershipPart(), new OutOfServicePart()));
    private long index;
    private long now;
    private final Map<String, EffectiveShare> shares = new HashMap<>();

    private Answer apply(Command command) {
        return machine.apply(++index, command);
    }

    private Answer join(String name, long incarnation) {
        shares.put(name, new EffectiveShare(name, incarnation, TERMS));
        return apply(MembershipPart.join(name, incarnation, TERMS));
    }

    private View view() {
        return new View(machine.moment(), Rows.fromSnapshot(index, machine.snapshot().rows()), now);
    }

    private long share(String name) {
        return Member.of(machine.rows(), name).share();
    }

    /**
     * Advances log time and every clock; the renewing members see each entry and renew once a
     * second.
     */
    private void advance(long micros, String... renewing) {
        for (long endMicros = now + micros; now < endMicros; ) {
            now += STEP_MICROS;
            apply(ReplicatedStateMachine.advance("leader", 1, STEP_MICROS));
            if (now % 1_000_000 == 0) {
                for (String name : renewing) {
                    shares.get(name).factor(view(), now);
                    apply(MembershipPart.renew(name, 1, shares.get(name).appliedGrantIndex()));
                }
            }
        }
    }

    private void joinFour() {
        for (String name : List.of("a", "b", "c", "d")) {
            assertEquals(Status.DONE, join(name, 1).status());
        }
        advance(1_000_000, "a", "b", "c", "d");
    }

    @Test
    public void liveMembersHaveEvenShareFromStart() {
        joinFour();
        assertEquals(EVEN, share("a"));
        assertEquals(1.0, shares.get("d").factor(view(), now), 0);
        assertEquals(4, Member.alive(machine.rows(), machine.moment().micros()));
    }

    @Test
    public void sharesAreUnchangedDuringRestartAndGrowAfterLinger() {
        joinFour();
        advance(25_000_000, "a", "b", "c");
        assertEquals(EVEN, share("a"));
        advance(2_000_000, "a", "b", "c");
        assertEquals((4 * EVEN - TERMS.floor()) / 3, share("a"));
        assertTrue(share("a") + share("b") + share("c") + TERMS.floor() <= 4 * EVEN);
    }

    @Test
    public void returningMemberGetsShareOnlyAsOthersConfirmShrinking() {
        joinFour();
        advance(28_000_000, "a", "b", "c");
        long largerShare = share("a");
        join("d", 2);
        assertEquals(EVEN, share("a"));
        assertEquals("others may still use their former shares", TERMS.floor(), share("d"), 3);
        shares.get("a").factor(view(), now);
        apply(MembershipPart.renew("a", 1, shares.get("a").appliedGrantIndex()));
        assertEquals(
                "a confirmed reduction is available to it",
                TERMS.floor() + largerShare - EVEN,
                share("d"),
                3);
        advance(1_000_000, "a", "b", "c");
        assertEquals(EVEN, share("d"));
    }

    @Test
    public void shareOfSilentMemberIsReassignedOnlyAfterItsLease() {
        joinFour();
        advance(28_000_000, "a", "b");
        long largerShare = share("b");
        assertTrue(largerShare > EVEN);
        join("c", 2);
        join("d", 2);
        shares.put("c", new EffectiveShare("c", 2, TERMS));
        advance(1_000_000, "a");
        long used = largerShare + share("a") + share("c") + share("d");
        assertTrue("b may still serve with " + largerShare, used <= 4 * EVEN);
        advance(TERMS.leaseMicros(), "a");
        assertEquals(EVEN, share("b"));
    }

    @Test
    public void partitionedMemberReducesShareBeforeReassignment() {
        joinFour();
        advance(28_000_000, "a", "b");
        View lastView = view();
        EffectiveShare a = shares.get("a");
        assertTrue(a.factor(lastView, now) > 1);
        long lease = Member.of(lastView.rows(), "a").leaseEndMicros() - lastView.moment().micros();
        long leaseByOwnClock =
                (long)
                        ((lease - EffectiveShare.MAX_UNCOMMITTED_MICROS)
                                / (1 + EffectiveShare.MAX_CLOCK_DRIFT));
        assertTrue(a.factor(lastView, now + leaseByOwnClock - 10) > 1);
        assertEquals(1.0, a.factor(lastView, now + leaseByOwnClock + 10), 0);
        long lingerByOwnClock =
                (long)
                        ((lease - EffectiveShare.MAX_UNCOMMITTED_MICROS + TERMS.lingerMicros())
                                / (1 + EffectiveShare.MAX_CLOCK_DRIFT));
        assertEquals(1.0, a.factor(lastView, now + lingerByOwnClock - 10), 0);
        assertEquals(0.25, a.factor(lastView, now + lingerByOwnClock + 10), 0);
        assertEquals(
                "the fallback set by the operator",
                1.0,
                new EffectiveShare("a", 1, TERMS, EVEN)
                        .factor(lastView, now + lingerByOwnClock + 10),
                0);
    }

    @Test
    public void unknownMemberServesAtFloor() {
        assertEquals(0.25, new EffectiveShare("a", 1, TERMS).factor(View.NONE, now), 0);
        joinFour();
        EffectiveShare restarted = new EffectiveShare("a", 2, TERMS);
        assertEquals(
                "the row belongs to its former incarnation",
                0.25,
                restarted.factor(view(), now),
                0);
        join("a", 2);
        assertEquals(1.0, restarted.factor(view(), now), 0);
        shares.put("a", new EffectiveShare("a", 1, TERMS));
        shares.get("a").factor(view(), now);
        assertTrue(shares.get("a").isReplaced());
        assertFalse(restarted.isReplaced());
    }

    @Test
    public void olderIncarnationIsRejectedAndUnknownOneMustJoin() {
        joinFour();
        join("a", 7);
        assertEquals(
                Answer.conflict("incarnation 1 of a is below 7"),
                apply(MembershipPart.renew("a", 1, 0)));
        assertEquals(Status.CONFLICT, join("a", 6).status());
        assertEquals(Status.UNKNOWN, apply(MembershipPart.renew("a", 8, 0)).status());
        assertEquals(Status.UNKNOWN, apply(MembershipPart.renew("x", 1, 0)).status());
        assertEquals(Answer.conflict("name e is one more than the 4 places"), join("e", 1));
        assertEquals(Status.FAULTY, join("not a name", 1).status());
    }

    @Test
    public void differingTermsAreRejectedWhileFormerAreInUse() {
        joinFour();
        MembershipTerms longer = new MembershipTerms(4, 9_000_000, 20_000_000, EVEN / 4);
        assertEquals(
                Answer.conflict("leaseMicros differs from what the members agreed on"),
                apply(MembershipPart.join("a", 2, longer)));
        advance(30_000_000);
        assertEquals(Status.DONE, apply(MembershipPart.join("a", 2, longer)).status());
        assertEquals(longer, Member.terms(machine.rows()));
    }

    @Test
    public void lateJoinDoesNotReleaseReservedShares() {
        joinFour();
        advance(28_000_000, "a", "b", "c");
        join("d", 2);
        long before = share("d");
        apply(MembershipPart.join("a", 1, TERMS));
        apply(MembershipPart.join("b", 1, TERMS));
        assertEquals(before, share("d"));
    }

    @Test
    public void newEraGrantsNothingWhileFormerSharesMayBeInUse() {
        machine = new ReplicatedStateMachine(2, List.of(new MembershipPart()));
        List<String> three = new ArrayList<>(List.of("a", "b", "c"));
        three.forEach(name -> join(name, 1));
        assertEquals(TERMS.floor(), share("a"));
        advance(TERMS.leaseMicros(), "a", "b", "c");
        assertEquals(EVEN, share("a"));
        machine = new ReplicatedStateMachine(2, List.of(new MembershipPart()));
        index = 0;
        three.forEach(name -> join(name, 1));
        join("d", 1);
        assertEquals(
                "all have joined, so no process uses a share of the former era", EVEN, share("a"));
    }

    @Test
    public void workersStayOutOfServiceUntilReturned() {
        apply(OutOfServicePart.takeOutOfService("r1", "a", 1, "w1"));
        assertEquals(
                Status.DONE, apply(OutOfServicePart.takeOutOfService("r2", "b", 1, "w1")).status());
        ReplicatedStateMachine restored =
                new ReplicatedStateMachine(1, List.of(new OutOfServicePart()));
        restored.restore(machine.snapshot());
        assertEquals(Set.of("w1"), OutOfServicePart.outOfService(restored.rows()));
        assertEquals("a", restored.rows().get("out", "w1").text("by"));
        assertNotNull(restored.rows().get("out", "w1").text("since"));
        assertEquals(
                Status.DONE, apply(OutOfServicePart.returnToService("r3", "b", 1, "w1")).status());
        assertEquals(
                Status.DONE, apply(OutOfServicePart.returnToService("r3", "b", 1, "w1")).status());
        assertEquals(
                Status.UNKNOWN,
                apply(OutOfServicePart.returnToService("r4", "b", 1, "w1")).status());
        assertEquals(
                Answer.faulty("worker is missing"),
                apply(new Command("", "a", 1, "out", "exit", postgrade.shared.Row.EMPTY)));
    }
}

package postgrade.quorum.engine;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import postgrade.quorum.follow.Gathering;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;
import postgrade.shared.View;

/** A state larger than any message, told page by page while it goes on. */
public class PagesTest {

    private static final int ROWS = 4500;
    private static final String TEXT = "x".repeat(16 << 10);
    private static final long OLD_MOST = 64 << 20;

    private static final class Texts implements StatePart {
        @Override
        public String name() {
            return "texts";
        }

        @Override
        public Answer apply(Rows rows, Moment at, Command c) {
            if (c.verb().equals("put")) {
                rows.put(name(), c.args().text("key"), Row.of("text", TEXT, "n", at.index()));
            } else {
                rows.remove(name(), c.args().text("key"));
            }
            return Answer.done("", Row.EMPTY);
        }
    }

    private final ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new Texts()));
    private Gathering gathering = new Gathering(View.NONE);
    private long told;
    private int pages;

    private void change(String verb, int key) {
        machine.apply(
                machine.moment().index() + 1,
                new Command(
                        "", "test", 1, "texts", verb, Row.of("key", String.format("k%05d", key))));
    }

    private View page() {
        PullReply.Builder reply = PullReply.newBuilder().setGroup("1-g");
        Pages.fill(reply, machine, gathering.asks().build(), pages++ > 0);
        PullReply page = reply.build();
        told += page.getSerializedSize();
        assertTrue(
                "a page of " + page.getSerializedSize(),
                page.getSerializedSize() < Pages.BYTES + TEXT.length() + 1000);
        return gathering.take(1_000_000 + pages, page);
    }

    private View whole() {
        View view = null;
        while (view == null) {
            view = page();
        }
        return view;
    }

    private void asTheMachine(View view) {
        assertEquals(machine.moment(), view.moment());
        assertEquals(machine.rows().ofPart("texts"), view.rows().ofPart("texts"));
    }

    @Test
    public void aStateAboveTheOldLimitComesWholeWhileItChanges() {
        for (int i = 0; i < ROWS; i++) {
            change("put", i);
        }
        for (View view = null; view == null || told < OLD_MOST; ) {
            view = page();
            assertTrue("half a view was published", view == null || told > OLD_MOST);
            change("put", pages % 7); // Behind the cursor.
            change("remove", 20 + pages);
            change("put", ROWS + pages);
        }
        View view = whole();
        asTheMachine(view);
        assertEquals("of the pull that brought it", 1_000_000 + pages, view.asOfMicros());
        long before = told;
        change("put", 3);
        change("remove", 4);
        asTheMachine(whole());
        assertTrue("only what changed", told - before < 3 * TEXT.length());
    }

    @Test
    public void whereTheChangesAreForgottenItBeginsAnew() {
        for (int i = 0; i < 100; i++) {
            change("put", i);
        }
        assertEquals("the first page is no view", null, page());
        for (int i = 0; i < 5000; i++) {
            change("put", 200);
            change("remove", 200);
        }
        asTheMachine(whole());
    }

    @Test
    public void anotherLogOrAnOlderStateIsNotMixedIn() {
        for (int i = 0; i < 100; i++) {
            change("put", i);
        }
        page();
        PullReply.Builder other = PullReply.newBuilder().setGroup("2-h");
        ReplicatedStateMachine later = new ReplicatedStateMachine(2, List.of(new Texts()));
        later.apply(1, new Command("", "test", 1, "texts", "put", Row.of("key", "only")));
        Pages.fill(other, later, gathering.asks().build(), false);
        assertEquals(null, gathering.take(5, other.build()));
        Pages.fill(other.clear().setGroup("2-h"), later, gathering.asks().build(), false);
        View view = gathering.take(6, other.build());
        assertEquals(later.rows().ofPart("texts"), view.rows().ofPart("texts"));
        assertEquals("an earlier moment", null, page());
    }

    @Test
    public void aSnapshotInPiecesIsTheSame() {
        for (int i = 0; i < 100; i++) {
            change("put", i);
        }
        List<Object> pieces = new ArrayList<>();
        Pages.split(machine.snapshot(), pieces::add);
        assertTrue(pieces.size() > 5);
        ReplicatedStateMachine read = new ReplicatedStateMachine(1, List.of(new Texts()));
        read.restore(Pages.join(pieces));
        assertEquals(machine.moment(), read.moment());
        assertEquals(machine.rows().ofPart("texts"), read.rows().ofPart("texts"));
    }
}

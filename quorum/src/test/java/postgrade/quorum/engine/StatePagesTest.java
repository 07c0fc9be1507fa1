package postgrade.quorum.engine;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import postgrade.quorum.follow.ViewAssembler;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;
import postgrade.shared.View;

/** A state larger than any message, sent page by page while it changes. */
public class StatePagesTest {

    private static final int ROWS = 4500;
    private static final String TEXT = "x".repeat(16 << 10);
    private static final long FORMER_MESSAGE_LIMIT = 64 << 20;

    private static final class TextsPart implements StatePart {
        @Override
        public String name() {
            return "texts";
        }

        @Override
        public Answer apply(Rows rows, Moment at, Command command) {
            if (command.verb().equals("put")) {
                rows.put(name(), command.args().text("key"), Row.of("text", TEXT, "n", at.index()));
            } else {
                rows.remove(name(), command.args().text("key"));
            }
            return Answer.done("", Row.EMPTY);
        }
    }

    private final ReplicatedStateMachine machine =
            new ReplicatedStateMachine(1, List.of(new TextsPart()));
    private ViewAssembler viewAssembler = new ViewAssembler(View.NONE);
    private long receivedBytes;
    private int pages;

    private void change(String verb, int key) {
        machine.apply(
                machine.moment().index() + 1,
                new Command(
                        "", "test", 1, "texts", verb, Row.of("key", String.format("k%05d", key))));
    }

    private View nextPage() {
        PullReply.Builder reply = PullReply.newBuilder().setGroup("1-g");
        StatePages.fill(reply, machine, viewAssembler.nextRequest().build(), pages++ > 0);
        PullReply page = reply.build();
        receivedBytes += page.getSerializedSize();
        assertTrue(
                "size of the page: " + page.getSerializedSize(),
                page.getSerializedSize() < StatePages.PAGE_BYTES + TEXT.length() + 1000);
        return viewAssembler.accept(1_000_000 + pages, page);
    }

    private View pullView() {
        View view = null;
        while (view == null) {
            view = nextPage();
        }
        return view;
    }

    private void assertMatchesMachine(View view) {
        assertEquals(machine.moment(), view.moment());
        assertEquals(machine.rows().ofPart("texts"), view.rows().ofPart("texts"));
    }

    @Test
    public void stateAboveFormerLimitArrivesCompleteWhileChanging() {
        for (int i = 0; i < ROWS; i++) {
            change("put", i);
        }
        for (View view = null; view == null || receivedBytes < FORMER_MESSAGE_LIMIT; ) {
            view = nextPage();
            assertTrue(
                    "an incomplete view was published",
                    view == null || receivedBytes > FORMER_MESSAGE_LIMIT);
            change("put", pages % 7); // Before the position of the next page.
            change("remove", 20 + pages);
            change("put", ROWS + pages);
        }
        View view = pullView();
        assertMatchesMachine(view);
        assertEquals("time of the pull that completed it", 1_000_000 + pages, view.asOfMicros());
        long before = receivedBytes;
        change("put", 3);
        change("remove", 4);
        assertMatchesMachine(pullView());
        assertTrue("only the changes were sent", receivedBytes - before < 3 * TEXT.length());
    }

    @Test
    public void restartsWhereChangesAreNoLongerKnown() {
        for (int i = 0; i < 100; i++) {
            change("put", i);
        }
        assertEquals("the first page does not complete a view", null, nextPage());
        for (int i = 0; i < 5000; i++) {
            change("put", 200);
            change("remove", 200);
        }
        assertMatchesMachine(pullView());
    }

    @Test
    public void otherLogOrOlderStateIsNotMixedIn() {
        for (int i = 0; i < 100; i++) {
            change("put", i);
        }
        nextPage();
        PullReply.Builder other = PullReply.newBuilder().setGroup("2-h");
        ReplicatedStateMachine later = new ReplicatedStateMachine(2, List.of(new TextsPart()));
        later.apply(1, new Command("", "test", 1, "texts", "put", Row.of("key", "only")));
        StatePages.fill(other, later, viewAssembler.nextRequest().build(), false);
        assertEquals(null, viewAssembler.accept(5, other.build()));
        StatePages.fill(
                other.clear().setGroup("2-h"), later, viewAssembler.nextRequest().build(), false);
        View view = viewAssembler.accept(6, other.build());
        assertEquals(later.rows().ofPart("texts"), view.rows().ofPart("texts"));
        assertEquals("a page of an earlier moment is ignored", null, nextPage());
    }

    @Test
    public void splitSnapshotRestoresTheSameState() {
        for (int i = 0; i < 100; i++) {
            change("put", i);
        }
        List<Object> chunks = new ArrayList<>();
        StatePages.split(machine.snapshot(), chunks::add);
        assertTrue(chunks.size() > 5);
        ReplicatedStateMachine restored = new ReplicatedStateMachine(1, List.of(new TextsPart()));
        restored.restore(StatePages.join(chunks));
        assertEquals(machine.moment(), restored.moment());
        assertEquals(machine.rows().ofPart("texts"), restored.rows().ofPart("texts"));
    }
}

package postgrade.quorum.follow;

import java.util.ArrayList;
import java.util.List;
import postgrade.quorum.wire.Shapes;
import postgrade.quorum.wire.proto.ChangeMsg;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.shared.Moment;
import postgrade.shared.Rows;
import postgrade.shared.Rows.Change;
import postgrade.shared.View;

/**
 * Puts a view together from pages. The state goes on while they come, so a pass over it that took
 * several pages is followed by one over what has changed since its first: whatever changed after
 * that is told once more. A pass of one page is the state of one moment, and only that makes a
 * view. What has come is kept over lost answers and changes of the voter.
 */
public final class Gathering {

    private View before;
    private List<Change> changes = new ArrayList<>();
    private boolean whole;
    private String group = "";

    /** What was told so far covers all up to here. */
    private long base;

    /** Of the latest page. */
    private Moment latest = Moment.NONE;

    private boolean took;

    /** Of the first page of this pass. */
    private Moment first;

    private String part = "";
    private String key = "";

    public Gathering(View before) {
        begin(before);
    }

    private void begin(View from) {
        before = from;
        changes = new ArrayList<>();
        whole = false;
        base = from.known() ? from.moment().index() : 0;
        pass();
    }

    private void pass() {
        first = null;
        part = "";
        key = "";
    }

    private boolean open() {
        return !part.isEmpty() || !changes.isEmpty();
    }

    /** Whether a page has just come and others are to follow. */
    public boolean goesOn() {
        return took && open();
    }

    public PullRequest.Builder asks() {
        return PullRequest.newBuilder()
                .setPages(true)
                .setIndex(base)
                .setAfterPart(part)
                .setAfterKey(key);
    }

    /** Takes a page; the view where it is the last that was needed, else null. */
    public View take(long asOfMicros, PullReply page) {
        Moment moment = Shapes.moment(page.getMoment());
        took = moment.fence() >= latest.fence();
        if (!took) {
            return null; // Guards against a voter that has forgotten: what was seen is not unseen.
        }
        if (open() && !page.getGroup().equals(group)) {
            begin(View.NONE); // Another log: this page may go on in the midst of it.
            took = false;
            return null;
        }
        if (page.getWhole() && base > 0) {
            begin(View.NONE); // The changes are no longer known singly.
        }
        latest = moment;
        group = page.getGroup();
        whole |= page.getWhole();
        changes.addAll(Shapes.told(page.getChangesList()));
        if (page.getMore()) {
            first = first == null ? moment : first;
            ChangeMsg last = page.getChanges(page.getChangesCount() - 1);
            part = last.getPart();
            key = last.getKey();
            return null;
        }
        if (first != null) {
            base = first.index();
            pass();
            return null;
        }
        View view =
                new View(
                        moment,
                        whole
                                ? Rows.fromSnapshot(moment.index(), changes)
                                : changes.isEmpty()
                                        ? before.rows()
                                        : before.rows().withChanges(moment.index(), changes),
                        Math.max(asOfMicros, before.asOfMicros()));
        begin(view);
        return view;
    }
}

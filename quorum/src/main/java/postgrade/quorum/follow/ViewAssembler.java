package postgrade.quorum.follow;

import java.util.ArrayList;
import java.util.List;
import postgrade.quorum.wire.StateCodec;
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
public final class ViewAssembler {

    private View previous;
    private List<Change> changes = new ArrayList<>();
    private boolean fullState;
    private String group = "";

    /** What was told so far covers all up to here. */
    private long baseIndex;

    /** Of the latest page. */
    private Moment latestMoment = Moment.NONE;

    private boolean accepted;

    /** Of the first page of this pass. */
    private Moment firstPageMoment;

    private String lastPart = "";
    private String lastKey = "";

    public ViewAssembler(View previous) {
        reset(previous);
    }

    private void reset(View from) {
        previous = from;
        changes = new ArrayList<>();
        fullState = false;
        baseIndex = from.known() ? from.moment().index() : 0;
        startPass();
    }

    private void startPass() {
        firstPageMoment = null;
        lastPart = "";
        lastKey = "";
    }

    private boolean isPartial() {
        return !lastPart.isEmpty() || !changes.isEmpty();
    }

    /** Whether a page has just come and others are to follow. */
    public boolean expectsMore() {
        return accepted && isPartial();
    }

    public PullRequest.Builder nextRequest() {
        return PullRequest.newBuilder()
                .setPages(true)
                .setIndex(baseIndex)
                .setAfterPart(lastPart)
                .setAfterKey(lastKey);
    }

    /** Takes a page; the view where it is the last that was needed, else null. */
    public View accept(long asOfMicros, PullReply page) {
        Moment moment = StateCodec.moment(page.getMoment());
        accepted = moment.fence() >= latestMoment.fence();
        if (!accepted) {
            return null; // Guards against a voter that has forgotten: what was seen is not unseen.
        }
        if (isPartial() && !page.getGroup().equals(group)) {
            reset(View.NONE); // Another log: this page may go on in the midst of it.
            accepted = false;
            return null;
        }
        if (page.getWhole() && baseIndex > 0) {
            reset(View.NONE); // The changes are no longer known singly.
        }
        latestMoment = moment;
        group = page.getGroup();
        fullState |= page.getWhole();
        changes.addAll(StateCodec.parseChanges(page.getChangesList()));
        if (page.getMore()) {
            firstPageMoment = firstPageMoment == null ? moment : firstPageMoment;
            ChangeMsg last = page.getChanges(page.getChangesCount() - 1);
            lastPart = last.getPart();
            lastKey = last.getKey();
            return null;
        }
        if (firstPageMoment != null) {
            baseIndex = firstPageMoment.index();
            startPass();
            return null;
        }
        View view =
                new View(
                        moment,
                        fullState
                                ? Rows.of(moment.index(), changes)
                                : changes.isEmpty()
                                        ? previous.rows()
                                        : previous.rows().with(moment.index(), changes),
                        Math.max(asOfMicros, previous.asOfMicros()));
        reset(view);
        return view;
    }
}

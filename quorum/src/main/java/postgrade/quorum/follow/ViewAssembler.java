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
 * Assembles a view from pages. The state keeps changing while pages arrive, so a pass of several
 * pages is followed by a pass over the changes since the first page of it: whatever changed after
 * that page is sent again. Only a pass of one page shows the state at one moment and completes a
 * view. Pages received so far are kept when an answer is lost or the voter changes.
 */
public final class ViewAssembler {

    private View previous;
    private List<Change> changes = new ArrayList<>();
    private boolean fullState;
    private String group = "";

    /** The changes received so far cover everything up to this index. */
    private long baseIndex;

    /** Moment of the latest page. */
    private Moment latestMoment = Moment.NONE;

    private boolean accepted;

    /** Moment of the first page of this pass. */
    private Moment firstPageMoment;

    private String lastPart = "";
    private String lastKey = "";

    public ViewAssembler(View previous) {
        reset(previous);
    }

    private void reset(View base) {
        previous = base;
        changes = new ArrayList<>();
        fullState = false;
        baseIndex = base.known() ? base.moment().index() : 0;
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

    /** Whether a page was just accepted and more are to follow. */
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

    /** Accepts a page. Returns the view if this page completes it, else null. */
    public View accept(long asOfMicros, PullReply page) {
        Moment moment = StateCodec.moment(page.getMoment());
        accepted = moment.fence() >= latestMoment.fence();
        if (!accepted) {
            return null; // Guards against a voter that has lost state: the view never goes back.
        }
        if (isPartial() && !page.getGroup().equals(group)) {
            reset(View.NONE); // Another log, which this page may show from its middle on.
            accepted = false;
            return null;
        }
        if (page.getWhole() && baseIndex > 0) {
            reset(View.NONE); // The individual changes are no longer known.
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
                                ? Rows.fromSnapshot(moment.index(), changes)
                                : changes.isEmpty()
                                        ? previous.rows()
                                        : previous.rows().withChanges(moment.index(), changes),
                        Math.max(asOfMicros, previous.asOfMicros()));
        reset(view);
        return view;
    }
}

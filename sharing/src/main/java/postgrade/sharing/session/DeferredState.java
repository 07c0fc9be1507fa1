package postgrade.sharing.session;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.extension.Host;
import postgrade.log.Events;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.StatePart;
import postgrade.shared.View;

/**
 * Shared state that may become available later, or never: until it can be opened there is no view
 * and nothing is decided. While another process of this dispatcher holds the store and the
 * membership, this process follows the state as an observer, with a view of its own, and opens its
 * own state once that process has ended.
 */
public final class DeferredState implements ReplicatedState {

    private static final Logger LOG = LoggerFactory.getLogger(DeferredState.class);
    private static final long RETRY_INTERVAL_MICROS = 2_000_000;

    private final Host host;
    private final List<StatePart> parts;
    private final StateOpener opener;
    private final Executor blockingExecutor;
    private final String name;
    private ReplicatedState own;

    /**
     * Open while another process holds the membership, and until this process's own view is as
     * recent.
     */
    private ReplicatedState observer;

    private String fault = "not opened yet";
    private boolean opening;
    private boolean closed;
    private long nextAttemptMicros;

    /**
     * Creates the state without opening it; {@link #tick} does that.
     *
     * @param name the member name of this process, as handed over by its predecessor if there was
     *     one
     * @param blockingExecutor runs the opening, which may block
     */
    public DeferredState(
            Host host,
            String name,
            List<StatePart> parts,
            StateOpener opener,
            Executor blockingExecutor) {
        this.host = host;
        this.name = name;
        this.blockingExecutor = blockingExecutor;
        this.parts = List.copyOf(parts);
        this.opener = opener;
    }

    /** Opens the state if that is possible now. Called periodically. */
    public void tick() {
        long now = host.timers().nowMicros();
        if (own != null && observer != null && ownViewCaughtUp()) {
            observer.close();
            observer = null;
        }
        if (own != null || opening || closed || now < nextAttemptMicros) {
            return;
        }
        boolean onlyProcess = host.isOnlyProcess();
        if (!onlyProcess) {
            fault = "another process of this dispatcher still has its place";
        }
        if (onlyProcess || observer == null) {
            opening = true;
            blockingExecutor.execute(() -> open(onlyProcess));
        }
    }

    private boolean ownViewCaughtUp() {
        return own.view().known() && own.view().asOfMicros() >= observer.view().asOfMicros();
    }

    /** Runs off the event loop, as it opens files and sockets. */
    private void open(boolean onlyProcess) {
        try {
            ReplicatedState opened =
                    onlyProcess
                            ? opener.open(parts, host.monotonicMicros(), host.loopExecutor())
                            : opener.openObserver(host.monotonicMicros(), host.loopExecutor());
            host.loopExecutor().execute(() -> opened(opened, onlyProcess));
        } catch (IOException | RuntimeException e) {
            host.loopExecutor().execute(() -> openFailed(e));
        }
    }

    private void opened(ReplicatedState opened, boolean onlyProcess) {
        opening = false;
        if (opened == null) {
            return;
        }
        if (closed) {
            opened.close();
            return;
        }
        if (!onlyProcess) {
            observer = opened;
            Events.info(LOG, "sharing.beside")
                    .log(
                            "following the shared state as an observer while another process has"
                                    + " its place");
            return;
        }
        own = opened;
        fault = null;
        Standing standing = opened.standing();
        Events.info(LOG, "sharing.opened")
                .addKeyValue("name", standing.name())
                .addKeyValue("incarnation", standing.incarnation())
                .log(
                        "opened the shared state as "
                                + standing.name()
                                + ", incarnation "
                                + standing.incarnation());
    }

    private void openFailed(Exception e) {
        opening = false;
        nextAttemptMicros = host.timers().nowMicros() + RETRY_INTERVAL_MICROS;
        String why = e.getMessage() == null ? e.toString() : e.getMessage();
        if (!why.equals(fault)) {
            Events.warn(LOG, "sharing.not-opened")
                    .addKeyValue("why", why)
                    .log(
                            "cannot open the shared state ("
                                    + why
                                    + "); serving without it, trying again");
        }
        fault = why;
    }

    public boolean isOpen() {
        return own != null;
    }

    @Override
    public View view() {
        if (observer != null && (own == null || !ownViewCaughtUp())) {
            return observer.view();
        }
        return own == null ? View.NONE : own.view();
    }

    @Override
    public void submit(Command command, long withinMicros, Consumer<Reply> done) {
        ReplicatedState target = own == null ? observer : own;
        if (target == null) {
            host.loopExecutor()
                    .execute(() -> done.accept(new Reply(null, null, RETRY_INTERVAL_MICROS)));
        } else {
            target.submit(command, withinMicros, done);
        }
    }

    /** Returns incarnation 0 until this process has a membership of its own. */
    @Override
    public Standing standing() {
        if (own != null) {
            return own.standing();
        }
        Standing observed = observer == null ? null : observer.standing();
        return new Standing(
                name,
                0,
                Role.OBSERVER,
                observed == null ? null : observed.leader(),
                observed == null ? 0 : observed.voters(),
                fault);
    }

    @Override
    public void close() {
        closed = true;
        if (observer != null) {
            observer.close();
        }
        if (own != null) {
            own.close();
        }
    }
}

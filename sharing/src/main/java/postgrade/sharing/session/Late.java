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
 * Shared state that may come later, or not at all: while it cannot be opened there is no view, and
 * nothing is decided. While another process of this dispatcher has store and place this one follows
 * beside it, with a view of its own, and opens its own once that process has ended.
 */
public final class Late implements ReplicatedState {

    private static final Logger LOG = LoggerFactory.getLogger(Late.class);
    private static final long AGAIN_MICROS = 2_000_000;

    private final Host host;
    private final List<StatePart> parts;
    private final Opener opener;
    private final Executor aside;
    private final String name;
    private ReplicatedState sharing;

    /** Followed beside the other process, and until the own view is as new. */
    private ReplicatedState beside;

    private String fault = "not opened yet";
    private boolean opening;
    private boolean closed;
    private long notBeforeMicros;

    /**
     * @param name by which this process shares, as a former one has told it
     * @param aside where it is opened, since that takes its time
     */
    public Late(Host host, String name, List<StatePart> parts, Opener opener, Executor aside) {
        this.host = host;
        this.name = name;
        this.aside = aside;
        this.parts = List.copyOf(parts);
        this.opener = opener;
    }

    /** Looks whether it can be opened now. Called again and again. */
    public void tick() {
        long now = host.timers().nowMicros();
        if (sharing != null && beside != null && ownIsAsNew()) {
            beside.close();
            beside = null;
        }
        if (sharing != null || opening || closed || now < notBeforeMicros) {
            return;
        }
        boolean alone = host.isOnlyProcess();
        if (!alone) {
            fault = "another process of this dispatcher still has its place";
        }
        if (alone || beside == null) {
            opening = true;
            aside.execute(() -> open(alone));
        }
    }

    private boolean ownIsAsNew() {
        return sharing.view().known() && sharing.view().asOfMicros() >= beside.view().asOfMicros();
    }

    /** Off the loop: files and sockets. */
    private void open(boolean alone) {
        try {
            ReplicatedState opened =
                    alone
                            ? opener.open(parts, host.monotonicMicros(), host.loopExecutor())
                            : opener.beside(host.monotonicMicros(), host.loopExecutor());
            host.loopExecutor().execute(() -> opened(opened, alone));
        } catch (IOException | RuntimeException e) {
            host.loopExecutor().execute(() -> failed(e));
        }
    }

    private void opened(ReplicatedState opened, boolean alone) {
        opening = false;
        if (opened == null) {
            return;
        }
        if (closed) {
            opened.close();
            return;
        }
        if (!alone) {
            beside = opened;
            Events.info(LOG, "sharing.beside")
                    .log(
                            "following the shared state beside the process that has this one's"
                                    + " place");
            return;
        }
        sharing = opened;
        fault = null;
        Standing s = opened.standing();
        Events.info(LOG, "sharing.opened")
                .addKeyValue("name", s.name())
                .addKeyValue("incarnation", s.incarnation())
                .log("state is shared as " + s.name() + ", incarnation " + s.incarnation());
    }

    private void failed(Exception e) {
        opening = false;
        notBeforeMicros = host.timers().nowMicros() + AGAIN_MICROS;
        String why = e.getMessage() == null ? e.toString() : e.getMessage();
        if (!why.equals(fault)) {
            Events.warn(LOG, "sharing.not-opened")
                    .addKeyValue("why", why)
                    .log("state cannot be shared (" + why + "); serving without, trying again");
        }
        fault = why;
    }

    public boolean isOpen() {
        return sharing != null;
    }

    @Override
    public View view() {
        if (beside != null && (sharing == null || !ownIsAsNew())) {
            return beside.view();
        }
        return sharing == null ? View.NONE : sharing.view();
    }

    @Override
    public void submit(Command command, long withinMicros, Consumer<Reply> done) {
        ReplicatedState way = sharing == null ? beside : sharing;
        if (way == null) {
            host.loopExecutor().execute(() -> done.accept(new Reply(null, null, AGAIN_MICROS)));
        } else {
            way.submit(command, withinMicros, done);
        }
    }

    /** Without an incarnation until it has its own place. */
    @Override
    public Standing standing() {
        if (sharing != null) {
            return sharing.standing();
        }
        Standing other = beside == null ? null : beside.standing();
        return new Standing(
                name,
                0,
                Role.OBSERVER,
                other == null ? null : other.leader(),
                other == null ? 0 : other.voters(),
                fault);
    }

    @Override
    public void close() {
        closed = true;
        if (beside != null) {
            beside.close();
        }
        if (sharing != null) {
            sharing.close();
        }
    }
}

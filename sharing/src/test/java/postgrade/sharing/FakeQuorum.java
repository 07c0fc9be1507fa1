package postgrade.sharing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;
import postgrade.shared.View;
import postgrade.sharing.session.StateOpener;

/**
 * A quorum of one replicated state machine that decides at once while it is reachable. Each process
 * has its own view of it.
 */
final class FakeQuorum {

    private ReplicatedStateMachine machine;
    private long index;
    private long incarnations;
    final Set<String> unreachable = new HashSet<>();

    /** Hosts whose views are not updated, although their commands are decided. */
    final Set<FakeHost> withoutUpdates = new HashSet<>();

    /** Hosts whose own connection has no view yet, while their observer connection has one. */
    final Set<FakeHost> withoutOwnView = new HashSet<>();

    boolean quorumLost;
    String leader = "v1";

    private void apply(Command c, Consumer<ReplicatedState.Reply> done) {
        postgrade.shared.Answer answer = machine.apply(++index, c);
        if (done != null) {
            done.accept(new ReplicatedState.Reply(answer, machine.moment(), 0));
        }
    }

    /** Advances the log's time together with the hosts' time. */
    void advance(long micros) {
        if (machine != null && !quorumLost) {
            apply(ReplicatedStateMachine.advance("leader", 1, micros), null);
        }
    }

    StateOpener openerFor(FakeHost host) {
        return new StateOpener() {
            @Override
            public ReplicatedState open(
                    List<StatePart> parts, LongSupplier nowMicros, Executor loopExecutor) {
                return new Connection(host, parts, ++incarnations);
            }

            @Override
            public ReplicatedState openObserver(LongSupplier nowMicros, Executor loopExecutor) {
                return new Connection(host, List.of(), 0);
            }
        };
    }

    private final class Connection implements ReplicatedState {
        private final FakeHost host;
        private final long incarnation;
        private View view = View.NONE;

        Connection(FakeHost host, List<StatePart> parts, long incarnation) {
            this.host = host;
            this.incarnation = incarnation;
            if (machine == null && !parts.isEmpty()) {
                machine = new ReplicatedStateMachine(1, parts);
            }
        }

        private boolean isReachable() {
            return machine != null && !quorumLost && !unreachable.contains(host.name());
        }

        @Override
        public View view() {
            if (isReachable()
                    && !withoutUpdates.contains(host)
                    && !(incarnation > 0 && withoutOwnView.contains(host))) {
                view =
                        new View(
                                machine.moment(),
                                Rows.fromSnapshot(index, machine.snapshot().rows()),
                                host.nowMicros());
            }
            return view;
        }

        @Override
        public void submit(Command command, long withinMicros, Consumer<Reply> done) {
            if (isReachable()) {
                host.loopExecutor().execute(() -> apply(command, done));
            } else {
                host.at(
                        host.nowMicros() + withinMicros,
                        () -> done.accept(new Reply(null, null, 700_000)));
            }
        }

        @Override
        public Standing standing() {
            return new Standing(
                    host.name(),
                    incarnation,
                    Role.OBSERVER,
                    isReachable() ? leader : null,
                    3,
                    null);
        }

        @Override
        public void close() {}
    }
}

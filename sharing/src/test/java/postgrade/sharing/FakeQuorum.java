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
import postgrade.sharing.session.Opener;

/**
 * One machine that decides at once, as long as it is reached; each process has its own view of it.
 */
final class FakeQuorum {

    private ReplicatedStateMachine machine;
    private long index;
    private long incarnations;
    final Set<String> cutOff = new HashSet<>();

    /** Their pulls get no answer, though what they ask for is decided. */
    final Set<FakeHost> blind = new HashSet<>();

    /** What they open has no view yet; what they follow beside another process has. */
    final Set<FakeHost> late = new HashSet<>();

    boolean lost;
    String leader = "v1";

    private void decide(Command c, Consumer<ReplicatedState.Reply> done) {
        postgrade.shared.Answer answer = machine.apply(++index, c);
        if (done != null) {
            done.accept(new ReplicatedState.Reply(answer, machine.moment(), 0));
        }
    }

    /** The log's time goes on as the hosts' does. */
    void advance(long micros) {
        if (machine != null && !lost) {
            decide(ReplicatedStateMachine.advance("leader", 1, micros), null);
        }
    }

    Opener as(FakeHost host) {
        return new Opener() {
            @Override
            public ReplicatedState open(
                    List<StatePart> parts, LongSupplier nowMicros, Executor onLoop) {
                return new Own(host, parts, ++incarnations);
            }

            @Override
            public ReplicatedState beside(LongSupplier nowMicros, Executor onLoop) {
                return new Own(host, List.of(), 0);
            }
        };
    }

    private final class Own implements ReplicatedState {
        private final FakeHost host;
        private final long incarnation;
        private View view = View.NONE;

        Own(FakeHost host, List<StatePart> parts, long incarnation) {
            this.host = host;
            this.incarnation = incarnation;
            if (machine == null && !parts.isEmpty()) {
                machine = new ReplicatedStateMachine(1, parts);
            }
        }

        private boolean reached() {
            return machine != null && !lost && !cutOff.contains(host.name());
        }

        @Override
        public View view() {
            if (reached() && !blind.contains(host) && !(incarnation > 0 && late.contains(host))) {
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
            if (reached()) {
                host.loopExecutor().execute(() -> decide(command, done));
            } else {
                host.at(
                        host.nowMicros() + withinMicros,
                        () -> done.accept(new Reply(null, null, 700_000)));
            }
        }

        @Override
        public Standing standing() {
            return new Standing(
                    host.name(), incarnation, Role.OBSERVER, reached() ? leader : null, 3, null);
        }

        @Override
        public void close() {}
    }
}

package postgrade.sharing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import postgrade.shared.Command;
import postgrade.shared.Machine;
import postgrade.shared.Part;
import postgrade.shared.Rows;
import postgrade.shared.Sharing;
import postgrade.shared.View;
import postgrade.sharing.session.Opener;

/**
 * One machine that decides at once, as long as it is reached; each process has its own view of it.
 */
final class FakeQuorum {

    private Machine machine;
    private long index;
    private long incarnations;
    final Set<String> cutOff = new HashSet<>();

    /** Their pulls get no answer, though what they ask for is decided. */
    final Set<FakeHost> blind = new HashSet<>();

    /** What they open has no view yet; what they follow beside another process has. */
    final Set<FakeHost> late = new HashSet<>();

    boolean lost;
    String leader = "v1";

    private void decide(Command c, Consumer<Sharing.Reply> done) {
        postgrade.shared.Answer answer = machine.apply(++index, c);
        if (done != null) {
            done.accept(new Sharing.Reply(answer, machine.moment(), 0));
        }
    }

    /** The log's time goes on as the hosts' does. */
    void advance(long micros) {
        if (machine != null && !lost) {
            decide(Machine.advance("leader", 1, micros), null);
        }
    }

    Opener as(FakeHost host) {
        return new Opener() {
            @Override
            public Sharing open(List<Part> parts, LongSupplier nowMicros, Executor onLoop) {
                return new Own(host, parts, ++incarnations);
            }

            @Override
            public Sharing beside(LongSupplier nowMicros, Executor onLoop) {
                return new Own(host, List.of(), 0);
            }
        };
    }

    private final class Own implements Sharing {
        private final FakeHost host;
        private final long incarnation;
        private View view = View.NONE;

        Own(FakeHost host, List<Part> parts, long incarnation) {
            this.host = host;
            this.incarnation = incarnation;
            if (machine == null && !parts.isEmpty()) {
                machine = new Machine(1, parts);
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
                                Rows.of(index, machine.save().rows()),
                                host.nowMicros());
            }
            return view;
        }

        @Override
        public void ask(Command command, long withinMicros, Consumer<Reply> done) {
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

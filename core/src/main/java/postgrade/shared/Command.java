package postgrade.shared;

import java.util.Objects;

/**
 * One entry of the log: proposed by a process and applied by every replica in the same order.
 *
 * @param requestId the same for every repetition of a call, so that it takes effect once; empty
 *     where repetitions do no harm
 * @param from the proposing process
 * @param incarnation of that process; it is higher after each restart
 * @param part the part of the state that the command addresses
 * @param verb the operation requested of that part
 */
public record Command(
        String requestId, String from, long incarnation, String part, String verb, Row args) {

    public Command {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(part, "part");
        Objects.requireNonNull(verb, "verb");
        Objects.requireNonNull(args, "args");
    }
}

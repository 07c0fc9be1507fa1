package postgrade.shared;

import java.util.Objects;

/**
 * One entry of the log: a process asks, every replica carries it out in the same order.
 *
 * @param requestId the same for a call that is repeated, which then has its effect once; empty
 *     where repeats do no harm
 * @param from the process that asks
 * @param incarnation of that process; a process started again has a higher one
 * @param part which part of the state it concerns
 * @param verb what is asked of that part
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

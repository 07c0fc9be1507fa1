package postgrade.dispatch;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Headers of a job request that an extension of the dispatcher reads, beyond those that every
 * client may send.
 */
public interface ExtensionHeaders {

    /** The names of the headers, in lower case; each may be given once. */
    Set<String> names();

    /**
     * Reads the headers of one request.
     *
     * @param jobClass the class of the job
     * @param value gives a header's value by its name, null where it was not sent
     * @return to be told the job's id once it has been accepted, in the same turn
     * @throws IllegalArgumentException with one sentence that begins with the header's name
     */
    Consumer<String> read(String jobClass, UnaryOperator<String> value);
}

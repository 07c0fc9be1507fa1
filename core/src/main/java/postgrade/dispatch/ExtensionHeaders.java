package postgrade.dispatch;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Headers of a job request that are read by an extension of the dispatcher, in addition to the
 * headers that every client may send.
 */
public interface ExtensionHeaders {

    /** Returns the names of the headers, in lower case; each may be given once. */
    Set<String> names();

    /**
     * Reads the headers of one request.
     *
     * @param jobClass the class of the job
     * @param value returns a header's value by its name, null if it was not sent
     * @return a callback that is given the job's id after acceptance, in the same event loop
     *     iteration
     * @throws IllegalArgumentException with one sentence that begins with the header's name
     */
    Consumer<String> read(String jobClass, UnaryOperator<String> value);
}

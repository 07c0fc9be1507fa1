package postgrade.gateway;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * What a job may ask for beyond what every front reads: named values, understood by who stands
 * beside the dispatcher.
 */
public interface Claims {

    /** The names that count, in lower case; each may be given once. */
    Set<String> names();

    /**
     * Reads what a job of this class claims.
     *
     * @param value by name, null where it was not given
     * @return to be told the job's id once it has been taken over, in the same turn
     * @throws IllegalArgumentException with one sentence that begins with the name
     */
    Consumer<String> read(String jobClass, UnaryOperator<String> value);
}

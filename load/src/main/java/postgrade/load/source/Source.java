package postgrade.load.source;

import java.io.IOException;
import java.io.InputStream;

/** A form in which requests are recorded. */
public interface Source {

    /** Its name in reports and traces: {@code har}, {@code combined}, {@code w3c}. */
    String name();

    /**
     * Reads all entries, in constant memory. What cannot be read is told to the sink and ends
     * nothing.
     */
    void read(InputStream in, Policies policies, Sink sink) throws IOException;
}

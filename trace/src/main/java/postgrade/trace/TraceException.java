package postgrade.trace;

import java.io.IOException;

/** A file is not a whole, readable trace. The message names the file and where it goes wrong. */
public final class TraceException extends IOException {
    private static final long serialVersionUID = 1L;

    TraceException(Object file, String what) {
        super(file + ": " + what);
    }
}

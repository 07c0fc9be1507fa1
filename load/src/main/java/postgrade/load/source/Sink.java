package postgrade.load.source;

import java.io.IOException;

/** Takes what a source reads. */
public interface Sink {

    /** One entry. The object is used again, so what is to be kept must be taken out of it. */
    void entry(Entry e) throws IOException;

    /** What was mended in the entry that comes next, or was noticed. */
    void repaired(Cause cause, long line, String text) throws IOException;

    /** What could not be used. */
    void rejected(Cause cause, long line, String text) throws IOException;
}

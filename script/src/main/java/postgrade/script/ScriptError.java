package postgrade.script;

import java.util.ArrayList;
import java.util.List;

/**
 * The one exception that a script can end with. The message begins with file, line and column,
 * where known.
 */
public final class ScriptError extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Place place;
    private final String what;
    private final transient List<String> calls = new ArrayList<>();

    ScriptError(Place place, String what) {
        super(what, null, false, false);
        this.place = place;
        this.what = what;
    }

    /** Of a value; the place is added by the node that evaluates it. */
    ScriptError(String what) {
        this(null, what);
    }

    ScriptError at(Place where) {
        if (place != null) {
            return this;
        }
        ScriptError placed = new ScriptError(where, what);
        placed.calls.addAll(calls);
        return placed;
    }

    void calledFrom(String function, Place where) {
        if (calls.size() < 20) {
            calls.add("in " + function + ", called at " + where);
        }
    }

    /** Where it went wrong, or null for a value given by the host. */
    public Place place() {
        return place;
    }

    /** What went wrong, without the place. */
    public String what() {
        return what;
    }

    /** The calls that led there, the innermost first. */
    public List<String> calls() {
        return List.copyOf(calls);
    }

    @Override
    public String getMessage() {
        return (place == null ? "" : place + ": ")
                + what
                + (calls.isEmpty() ? "" : "\n  " + String.join("\n  ", calls));
    }
}

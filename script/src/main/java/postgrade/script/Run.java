package postgrade.script;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** One run of script code: the steps it may still take and the functions under way. */
final class Run {

    /** No string, list or repetition grows beyond this many characters or elements. */
    static final int MOST_SIZE = 4_000_000;

    private static final int MOST_CALLS = 200;

    private final long steps;
    private final Consumer<String> printer;
    private final List<Function> calls = new ArrayList<>();
    private long left;

    /**
     * @param steps the most steps, so that every run ends: a call, a turn of a loop, an element
     *     made, each counts
     * @param printer takes what {@code print} writes
     */
    Run(long steps, Consumer<String> printer) {
        this.steps = steps;
        this.left = steps;
        this.printer = printer;
    }

    void step() {
        if (--left < 0) {
            throw exhausted();
        }
    }

    /** Accounts for making something of this size, and refuses it if it is too large. */
    void makes(long size) {
        if (size > MOST_SIZE) {
            throw new ScriptError("too large: " + size + " elements, at most " + MOST_SIZE);
        }
        left -= size / 8;
        if (left < 0) {
            throw exhausted();
        }
    }

    private ScriptError exhausted() {
        return new ScriptError("stopped after " + steps + " steps");
    }

    void enter(Function f) {
        step();
        for (int i = calls.size() - 1; i >= 0; i--) {
            if (calls.get(i).sameCode(f)) {
                throw new ScriptError("function " + f.name() + " called recursively");
            }
        }
        if (calls.size() >= MOST_CALLS) {
            throw new ScriptError("too many nested calls");
        }
        calls.add(f);
    }

    void leave() {
        calls.remove(calls.size() - 1);
    }

    void print(String line) {
        printer.accept(line);
    }

    /** Ready for the next run with all steps again. */
    void reset() {
        left = steps;
        calls.clear();
    }
}

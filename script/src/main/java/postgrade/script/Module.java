package postgrade.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A script that has run: its names and functions, none of which change any more. May be used by any
 * thread.
 */
public final class Module {
    private final String file;
    private final Map<String, Integer> names;
    private final Frame frame;

    Module(String file, Map<String, Integer> names, Frame frame) {
        this.file = file;
        this.names = names;
        this.frame = frame;
        for (Object v : frame.slots) {
            if (v != null) {
                Values.freeze(v);
            }
        }
    }

    public String file() {
        return file;
    }

    /** What the script calls by this name, or null. */
    public Object global(String name) {
        Integer slot = names.get(name);
        return slot == null ? null : frame.slots[slot];
    }

    /** The names that the script has given values. */
    public List<String> globals() {
        return names.keySet().stream().filter(n -> global(n) != null).sorted().toList();
    }

    /**
     * A function of the script, to be called by the host.
     *
     * @param steps the most steps of one call
     * @throws ScriptError if there is no function of this name, or it cannot take so many arguments
     */
    public HostFunction function(String name, int arguments, long steps) {
        Object v = global(name);
        if (!(v instanceof Function f)) {
            throw new ScriptError(
                    file
                            + ": "
                            + (v == null
                                    ? "a function " + name + " is needed"
                                    : name + " must be a function, not " + Values.type(v)));
        }
        long needed = f.code().parameters().stream().filter(p -> p.fallback() == null).count();
        if (needed > arguments || f.code().restSlot() < 0 && f.code().positional() < arguments) {
            throw new ScriptError(
                    f.code().place(),
                    "function "
                            + name
                            + " must take "
                            + arguments
                            + (arguments == 1 ? " argument" : " arguments"));
        }
        return new HostFunction(f, steps);
    }

    /** One thread's way to call a function of a script. */
    public static final class HostFunction {
        private final Function function;
        private final Run run;
        private final List<Object> args = new ArrayList<>(4);

        HostFunction(Function function, long steps) {
            this.function = function;
            run = new Run(steps, line -> {});
        }

        /** Calls it. Not to be called by two threads at once. */
        public Object call(Object... given) {
            run.reset();
            args.clear();
            for (Object g : given) {
                args.add(g);
            }
            try {
                return function.call(run, args, Map.of());
            } catch (StackOverflowError e) {
                throw Script.tooDeep();
            }
        }
    }
}

package postgrade.script;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** A function of the language or the host, with its parameters checked in one place. */
final class Builtin implements Callable {

    /** What it does, given its arguments in order; an optional one that was left out is null. */
    interface Body {
        Object call(Run run, Object[] args);
    }

    private final Signature signature;
    private final Body body;

    /**
     * @param parameters as {@link Signature} takes them
     */
    Builtin(String name, String parameters, Body body) {
        this(new Signature(name, parameters), body);
    }

    Builtin(Signature signature, Body body) {
        this.signature = signature;
        this.body = body;
    }

    @Override
    public String name() {
        return signature.name;
    }

    @Override
    public Object call(Run run, List<Object> args, Map<String, Object> named) {
        run.step();
        return body.call(run, signature.bind(args, named));
    }

    /** A call whose arguments need no lists: most calls. */
    Object call(Run run, Object[] values, int plain, String[] names) {
        run.step();
        return body.call(run, signature.bind(values, plain, names));
    }

    /** One that takes any number of arguments, or any names. */
    static Callable open(String name, Set<String> names, Open body) {
        return new Callable() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public Object call(Run run, List<Object> args, Map<String, Object> named) {
                run.step();
                for (String given : named.keySet()) {
                    if (names != null && !names.contains(given)) {
                        throw new ScriptError(name + ": no parameter named " + given);
                    }
                }
                return body.call(run, args, named);
            }

            @Override
            public String toString() {
                return "<built-in function " + name + ">";
            }
        };
    }

    interface Open {
        Object call(Run run, List<Object> args, Map<String, Object> named);
    }

    @Override
    public String toString() {
        return "<built-in function " + signature.name + ">";
    }
}

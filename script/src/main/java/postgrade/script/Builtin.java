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

    private final String name;
    private final String[] parameters;
    private final int needed;
    private final Body body;

    /** @param parameters names separated by spaces; optional ones end in {@code ?} and come last */
    Builtin(String name, String parameters, Body body) {
        this.name = name;
        this.parameters = parameters.isEmpty() ? new String[0] : parameters.split(" ");
        this.body = body;
        int count = 0;
        for (int i = 0; i < this.parameters.length; i++) {
            if (this.parameters[i].endsWith("?")) {
                this.parameters[i] = this.parameters[i].substring(0, this.parameters[i].length() - 1);
            } else {
                count++;
            }
        }
        needed = count;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Object call(Run run, List<Object> args, Map<String, Object> named) {
        run.step();
        if (args.size() > parameters.length) {
            throw new ScriptError(name + ": takes at most " + parameters.length + " arguments, got " + args.size());
        }
        Object[] all = args.toArray(new Object[parameters.length]);
        for (Map.Entry<String, Object> n : named.entrySet()) {
            int at = java.util.Arrays.asList(parameters).indexOf(n.getKey());
            if (at < 0) {
                throw new ScriptError(name + ": no parameter named " + n.getKey());
            }
            if (all[at] != null) {
                throw new ScriptError(name + ": " + n.getKey() + " is given twice");
            }
            all[at] = n.getValue();
        }
        for (int i = 0; i < needed; i++) {
            if (all[i] == null) {
                throw new ScriptError(name + ": " + parameters[i] + " is missing");
            }
        }
        return body.call(run, all);
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
        return "<built-in function " + name + ">";
    }
}

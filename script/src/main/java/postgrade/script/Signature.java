package postgrade.script;

import java.util.List;
import java.util.Map;

/** A built-in function's parameters, and how arguments are put into their order. */
final class Signature {

    final String name;
    private final String[] parameters;
    private final int needed;

    /**
     * @param parameters names separated by spaces; optional ones end in {@code ?} and come last
     */
    Signature(String name, String parameters) {
        this.name = name;
        this.parameters =
                parameters.isEmpty() ? new String[0] : parameters.replace("?", "").split(" ");
        int optional = (int) parameters.chars().filter(c -> c == '?').count();
        needed = this.parameters.length - optional;
    }

    /** Arguments by place, with null for an optional one that is left out. */
    Object[] bind(List<Object> args, Map<String, Object> named) {
        String[] names = named.isEmpty() ? null : named.keySet().toArray(new String[0]);
        Object[] values = new Object[args.size() + named.size()];
        args.toArray(values);
        int at = args.size();
        for (Object v : named.values()) {
            values[at++] = v;
        }
        return bind(values, args.size(), names);
    }

    /**
     * @param values of the arguments, those without a name first
     * @param plain how many have no name
     * @param names of the others
     */
    Object[] bind(Object[] values, int plain, String[] names) {
        if (plain > parameters.length) {
            throw new ScriptError(
                    name
                            + ": takes at most "
                            + parameters.length
                            + " argument"
                            + (parameters.length == 1 ? "" : "s")
                            + ", got "
                            + plain);
        }
        Object[] all = new Object[parameters.length];
        System.arraycopy(values, 0, all, 0, plain);
        for (int i = plain; i < values.length; i++) {
            int at = place(names[i - plain]);
            if (at < 0) {
                throw new ScriptError(name + ": no parameter named " + names[i - plain]);
            }
            if (all[at] != null) {
                throw new ScriptError(name + ": " + names[i - plain] + " is given twice");
            }
            all[at] = values[i];
        }
        for (int i = 0; i < needed; i++) {
            if (all[i] == null) {
                throw new ScriptError(name + ": " + parameters[i] + " is missing");
            }
        }
        return all;
    }

    private int place(String parameter) {
        for (int i = 0; i < parameters.length; i++) {
            if (parameters[i].equals(parameter)) {
                return i;
            }
        }
        return -1;
    }
}

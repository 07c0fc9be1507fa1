package postgrade.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A function defined by a script, closed over the frame in which its definition ran. */
final class Function implements Callable {

    /** One parameter; those behind {@code *} can only be named. */
    record Parameter(String name, int slot, Node fallback, boolean namedOnly) {}

    /**
     * What is known before it runs. {@code restSlot} and {@code namedSlot} are -1 where there is
     * none.
     */
    record Code(
            String name,
            Place place,
            List<Parameter> parameters,
            int positional,
            int restSlot,
            int namedSlot,
            int slots,
            Node body) {}

    private final Code code;
    private final Frame outer;
    private final Object[] fallbacks;

    Function(Code code, Frame outer, Object[] fallbacks) {
        this.code = code;
        this.outer = outer;
        this.fallbacks = fallbacks;
    }

    @Override
    public String name() {
        return code.name;
    }

    @Override
    public String typeName() {
        return "function";
    }

    Code code() {
        return code;
    }

    boolean sameCode(Function other) {
        return code == other.code;
    }

    @Override
    public Object call(Run run, List<Object> args, Map<String, Object> named) {
        Frame frame = new Frame(code.slots, outer);
        bind(run, frame, args, named);
        run.enter(this);
        try {
            Object result = code.body.eval(run, frame);
            return result instanceof Node.Returned r ? r.value() : Values.None.NONE;
        } finally {
            run.leave();
        }
    }

    private void bind(Run run, Frame frame, List<Object> args, Map<String, Object> named) {
        int given = Math.min(args.size(), code.positional);
        for (int i = 0; i < given; i++) {
            frame.slots[code.parameters.get(i).slot] = args.get(i);
        }
        if (code.restSlot >= 0) {
            run.makes(8L * args.size());
            frame.slots[code.restSlot] =
                    new Sequence.Tuple(List.copyOf(args.subList(given, args.size())));
        } else if (args.size() > given) {
            throw new ScriptError(
                    code.name
                            + ": takes at most "
                            + code.positional
                            + " positional arguments, got "
                            + args.size());
        }
        DictValue others = code.namedSlot >= 0 ? new DictValue() : null;
        for (Map.Entry<String, Object> n : named.entrySet()) {
            Parameter p = parameter(n.getKey());
            if (p != null && frame.slots[p.slot] == null) {
                frame.slots[p.slot] = n.getValue();
            } else if (p != null) {
                throw new ScriptError(code.name + ": " + n.getKey() + " is given twice");
            } else if (others != null) {
                others.put(n.getKey(), n.getValue());
            } else {
                throw new ScriptError(code.name + ": no parameter named " + n.getKey());
            }
        }
        if (others != null) {
            frame.slots[code.namedSlot] = others;
        }
        List<String> missing = null;
        for (int i = 0; i < code.parameters.size(); i++) {
            Parameter p = code.parameters.get(i);
            if (frame.slots[p.slot] == null) {
                if (fallbacks[i] == null) {
                    missing = missing == null ? new ArrayList<>() : missing;
                    missing.add(p.name);
                }
                frame.slots[p.slot] = fallbacks[i];
            }
        }
        if (missing != null) {
            throw new ScriptError(code.name + ": missing " + String.join(", ", missing));
        }
    }

    private Parameter parameter(String name) {
        for (Parameter p : code.parameters) {
            if (p.name.equals(name)) {
                return p;
            }
        }
        return null;
    }

    @Override
    public void freeze() {
        for (Object fallback : fallbacks) {
            if (fallback != null) {
                Values.freeze(fallback);
            }
        }
    }

    @Override
    public String toString() {
        return "<function " + code.name + ">";
    }
}

package postgrade.script;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postgrade.script.Values.None;

/**
 * One node of a compiled script, which evaluates itself. Expressions give a value; statements give
 * null to go on, or a {@link Flow}. A node that can go wrong gives its place to the error.
 */
abstract class Node {

    abstract Object eval(Run run, Frame f);

    /** Why a sequence of statements ends early. */
    interface Flow {}

    enum Jump implements Flow {
        BREAK,
        CONTINUE
    }

    record Returned(Object value) implements Flow {}

    // ---- Expressions.

    static final class Constant extends Node {
        private final Object value;

        Constant(Object value) {
            this.value = value;
        }

        @Override
        Object eval(Run run, Frame f) {
            return value;
        }
    }

    /** A variable: {@code depth} frames out, at {@code slot}. */
    static final class Variable extends Node {
        private final Place place;
        private final String name;
        private final int depth;
        private final int slot;

        Variable(Place place, String name, int depth, int slot) {
            this.place = place;
            this.name = name;
            this.depth = depth;
            this.slot = slot;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object v = f.up(depth).slots[slot];
            if (v == null) {
                throw new ScriptError(place, "variable " + name + " is used before it is assigned");
            }
            return v;
        }
    }

    static final class Binary extends Node {
        private final Place place;
        private final String op;
        private final Node left;
        private final Node right;

        Binary(Place place, String op, Node left, Node right) {
            this.place = place;
            this.op = op;
            this.left = left;
            this.right = right;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object a = left.eval(run, f);
            Object b = right.eval(run, f);
            try {
                return Ops.binary(run, op, a, b);
            } catch (ScriptError e) {
                throw e.at(place);
            }
        }
    }

    /** {@code ==} and {@code !=}, the most frequent operators of a plan. */
    static final class Equal extends Node {
        private final Place place;
        private final boolean wanted;
        private final Node left;
        private final Node right;

        Equal(Place place, boolean wanted, Node left, Node right) {
            this.place = place;
            this.wanted = wanted;
            this.left = left;
            this.right = right;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object a = left.eval(run, f);
            Object b = right.eval(run, f);
            if (a instanceof String s) {
                return s.equals(b) == wanted;
            }
            try {
                return Values.equal(a, b) == wanted;
            } catch (ScriptError e) {
                throw e.at(place);
            }
        }
    }

    static final class Unary extends Node {
        private final Place place;
        private final String op;
        private final Node operand;

        Unary(Place place, String op, Node operand) {
            this.place = place;
            this.op = op;
            this.operand = operand;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object v = operand.eval(run, f);
            try {
                return Ops.unary(op, v);
            } catch (ScriptError e) {
                throw e.at(place);
            }
        }
    }

    /** {@code and} and {@code or}. */
    static final class Logical extends Node {
        private final boolean and;
        private final Node left;
        private final Node right;

        Logical(boolean and, Node left, Node right) {
            this.and = and;
            this.left = left;
            this.right = right;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object a = left.eval(run, f);
            return Values.truth(a) == and ? right.eval(run, f) : a;
        }
    }

    static final class Conditional extends Node {
        private final Node test;
        private final Node yes;
        private final Node no;

        Conditional(Node test, Node yes, Node no) {
            this.test = test;
            this.yes = yes;
            this.no = no;
        }

        @Override
        Object eval(Run run, Frame f) {
            return Values.truth(test.eval(run, f)) ? yes.eval(run, f) : no.eval(run, f);
        }
    }

    static final class Dot extends Node {
        private final Place place;
        private final Node of;
        private final String name;

        Dot(Place place, Node of, String name) {
            this.place = place;
            this.of = of;
            this.name = name;
        }

        @Override
        Object eval(Run run, Frame f) {
            return attribute(of.eval(run, f));
        }

        Object attribute(Object v) {
            Object attribute = Builtins.attribute(v, name);
            if (attribute == null) {
                throw new ScriptError(place, Values.type(v) + " has no attribute " + name);
            }
            return attribute;
        }
    }

    /**
     * A call of {@code s.startswith("...")} or endswith with a constant: spares a plan the general
     * way.
     */
    static final class Affix extends Node {
        private final Node of;
        private final boolean start;
        private final String affix;
        private final Node general;

        Affix(Node of, boolean start, String affix, Node general) {
            this.of = of;
            this.start = start;
            this.affix = affix;
            this.general = general;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object v = of.eval(run, f);
            if (v instanceof String s) {
                run.step();
                return start ? s.startsWith(affix) : s.endsWith(affix);
            }
            return general.eval(run, f);
        }
    }

    static final class Index extends Node {
        private final Place place;
        private final Node of;
        private final Node at;

        Index(Place place, Node of, Node at) {
            this.place = place;
            this.of = of;
            this.at = at;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object v = of.eval(run, f);
            Object i = at.eval(run, f);
            try {
                return Ops.index(v, i);
            } catch (ScriptError e) {
                throw e.at(place);
            }
        }
    }

    static final class Slice extends Node {
        private final Place place;
        private final Node[] parts;

        /**
         * @param parts the value, lower, upper and step
         */
        Slice(Place place, Node... parts) {
            this.place = place;
            this.parts = parts;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object[] v = all(parts, run, f);
            try {
                return Ops.slice(run, v[0], v[1], v[2], v[3]);
            } catch (ScriptError e) {
                throw e.at(place);
            }
        }
    }

    static Object[] all(Node[] nodes, Run run, Frame f) {
        Object[] values = new Object[nodes.length];
        for (int i = 0; i < nodes.length; i++) {
            values[i] = nodes[i].eval(run, f);
        }
        return values;
    }

    /** How an argument is given: in order, by name, or as a list or dict of several. */
    enum Kind {
        PLAIN,
        NAMED,
        REST,
        NAMED_REST
    }

    record Argument(Kind kind, String name, Node value) {}

    static final class Call extends Node {
        private final Place place;
        private final Node callee;
        private final List<Argument> arguments;

        /**
         * Of a call whose arguments are plain or named only: their values, how many are plain, the
         * others' names.
         */
        private final Node[] values;

        private final int plain;
        private final String[] names;

        /** The method of strings that this calls, if there is one of the name. */
        private final Methods.Method<?> ofString;

        Call(Place place, Node callee, List<Argument> arguments) {
            this.place = place;
            this.callee = callee;
            this.arguments = arguments;
            boolean simple =
                    arguments.stream().allMatch(a -> a.kind == Kind.PLAIN || a.kind == Kind.NAMED);
            plain = (int) arguments.stream().filter(a -> a.kind == Kind.PLAIN).count();
            values = simple ? arguments.stream().map(Argument::value).toArray(Node[]::new) : null;
            names = arguments.stream().skip(plain).map(Argument::name).toArray(String[]::new);
            ofString = callee instanceof Dot dot ? Methods.find("", dot.name) : null;
        }

        @Override
        Object eval(Run run, Frame f) {
            if (values != null && callee instanceof Dot dot) {
                Object of = dot.of.eval(run, f);
                Methods.Method<?> m =
                        of instanceof String
                                ? ofString
                                : of instanceof Values.HostObject
                                        ? null
                                        : Methods.find(of, dot.name);
                if (m != null) {
                    Object[] given = all(values, run, f);
                    try {
                        return m.call(run, of, given, plain, names);
                    } catch (ScriptError e) {
                        throw e.at(place);
                    }
                }
                return call(run, f, dot.attribute(of));
            }
            return call(run, f, callee.eval(run, f));
        }

        private Object call(Run run, Frame f, Object target) {
            if (values != null && target instanceof Builtin b) {
                Object[] given = all(values, run, f);
                try {
                    return b.call(run, given, plain, names);
                } catch (ScriptError e) {
                    throw e.at(place);
                }
            }
            List<Object> args = new ArrayList<>(arguments.size());
            Map<String, Object> named = Map.of();
            for (Argument a : arguments) {
                Object v = a.value.eval(run, f);
                if (a.kind == Kind.PLAIN) {
                    args.add(v);
                    continue;
                }
                named = named.isEmpty() ? new LinkedHashMap<>() : named;
                try {
                    add(run, a, v, args, named);
                } catch (ScriptError e) {
                    throw e.at(place);
                }
            }
            if (!(target instanceof Callable c)) {
                throw new ScriptError(place, Values.type(target) + " cannot be called");
            }
            try {
                return c.call(run, args, named);
            } catch (ScriptError e) {
                if (e.place() == null) {
                    throw e.at(place);
                }
                e.calledFrom(c.name(), place);
                throw e;
            }
        }

        private static void add(
                Run run, Argument a, Object v, List<Object> args, Map<String, Object> named) {
            if (a.kind == Kind.NAMED) {
                put(named, a.name, v);
            } else if (a.kind == Kind.REST) {
                List<Object> more = Values.list(v);
                run.makes(8L * more.size());
                args.addAll(more);
            } else if (v instanceof DictValue d) {
                d.keyList()
                        .forEach(
                                k ->
                                        put(
                                                named,
                                                Values.text(k, "a name behind **"),
                                                d.getOrNull(k)));
            } else {
                throw new ScriptError("** needs a dict, not " + Values.type(v));
            }
        }

        private static void put(Map<String, Object> named, String name, Object v) {
            if (named.put(name, v) != null) {
                throw new ScriptError(name + " is given twice");
            }
        }
    }

    static final class ListOf extends Node {
        private final Node[] values;
        private final boolean tuple;

        ListOf(List<Node> values, boolean tuple) {
            this.values = values.toArray(new Node[0]);
            this.tuple = tuple;
        }

        @Override
        Object eval(Run run, Frame f) {
            List<Object> all = List.of(all(values, run, f));
            return tuple ? new Sequence.Tuple(all) : new Sequence.ListValue(new ArrayList<>(all));
        }
    }

    static final class DictOf extends Node {
        private final Place place;
        private final Node[] keys;
        private final Node[] values;

        DictOf(Place place, List<Node> keys, List<Node> values) {
            this.place = place;
            this.keys = keys.toArray(new Node[0]);
            this.values = values.toArray(new Node[0]);
        }

        @Override
        Object eval(Run run, Frame f) {
            DictValue d = new DictValue();
            for (int i = 0; i < keys.length; i++) {
                Object key = keys[i].eval(run, f);
                Object value = values[i].eval(run, f);
                try {
                    if (d.getOrNull(key) != null) {
                        throw new ScriptError(
                                "key " + Values.repr(key) + " stands twice in the dict");
                    }
                    d.put(key, value);
                } catch (ScriptError e) {
                    throw e.at(place);
                }
            }
            return d;
        }
    }

    /** One {@code for} or {@code if} of a comprehension; {@code vars} is null for an if. */
    record Clause(Place place, Target vars, Node over) {}

    static final class Comprehension extends Node {
        private final List<Clause> clauses;
        private final Node key;
        private final Node value;
        private final Place place;

        /**
         * @param key null for a list
         */
        Comprehension(Place place, List<Clause> clauses, Node key, Node value) {
            this.place = place;
            this.clauses = clauses;
            this.key = key;
            this.value = value;
        }

        @Override
        Object eval(Run run, Frame f) {
            if (key == null) {
                ArrayList<Object> all = new ArrayList<>();
                walk(
                        run,
                        f,
                        0,
                        () -> {
                            run.makes(8);
                            all.add(value.eval(run, f));
                        });
                return new Sequence.ListValue(all);
            }
            DictValue d = new DictValue();
            walk(
                    run,
                    f,
                    0,
                    () -> {
                        run.makes(8);
                        Object k = key.eval(run, f);
                        Object v = value.eval(run, f);
                        try {
                            d.put(k, v);
                        } catch (ScriptError e) {
                            throw e.at(place);
                        }
                    });
            return d;
        }

        private void walk(Run run, Frame f, int at, Runnable each) {
            if (at == clauses.size()) {
                each.run();
                return;
            }
            Clause c = clauses.get(at);
            if (c.vars == null) {
                if (Values.truth(c.over.eval(run, f))) {
                    walk(run, f, at + 1, each);
                }
                return;
            }
            overEach(
                    c.place,
                    run,
                    c.over.eval(run, f),
                    v -> {
                        c.vars.assign(run, f, v);
                        walk(run, f, at + 1, each);
                        return true;
                    });
        }
    }

    /** Calls back with each element until told to stop; the collection cannot change meanwhile. */
    static void overEach(
            Place place, Run run, Object over, java.util.function.Predicate<Object> each) {
        Iterator<Object> walk;
        try {
            walk = Values.iterate(over);
        } catch (ScriptError e) {
            throw e.at(place);
        }
        hold(over, 1);
        try {
            while (walk.hasNext()) {
                run.step();
                if (!each.test(walk.next())) {
                    return;
                }
            }
        } catch (ScriptError e) {
            throw e.at(place);
        } finally {
            hold(over, -1);
        }
    }

    private static void hold(Object over, int by) {
        if (over instanceof Sequence.ListValue l) {
            l.walk(by);
        } else if (over instanceof DictValue d) {
            d.walk(by);
        }
    }

    static final class Def extends Node {
        private final Function.Code code;

        Def(Function.Code code) {
            this.code = code;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object[] fallbacks = new Object[code.parameters().size()];
            for (int i = 0; i < fallbacks.length; i++) {
                Node fallback = code.parameters().get(i).fallback();
                fallbacks[i] = fallback == null ? null : fallback.eval(run, f);
            }
            return new Function(code, f, fallbacks);
        }
    }

    // ---- Where values go.

    interface Target {
        void assign(Run run, Frame f, Object v);
    }

    record Slot(int slot) implements Target {
        @Override
        public void assign(Run run, Frame f, Object v) {
            f.slots[slot] = v;
        }
    }

    record Element(Place place, Node of, Node at) implements Target {
        @Override
        public void assign(Run run, Frame f, Object v) {
            Object container = of.eval(run, f);
            Object i = at.eval(run, f);
            try {
                run.makes(8);
                Ops.setIndex(container, i, v);
            } catch (ScriptError e) {
                throw e.at(place);
            }
        }
    }

    record Unpacked(Place place, List<Target> targets) implements Target {
        @Override
        public void assign(Run run, Frame f, Object v) {
            List<Object> values;
            try {
                values = Values.list(v);
            } catch (ScriptError e) {
                throw e.at(place);
            }
            if (values.size() != targets.size()) {
                throw new ScriptError(
                        place,
                        "cannot unpack "
                                + values.size()
                                + " values into "
                                + targets.size()
                                + " variables");
            }
            for (int i = 0; i < values.size(); i++) {
                targets.get(i).assign(run, f, values.get(i));
            }
        }
    }

    // ---- Statements.

    static final class Assign extends Node {
        private final Target target;
        private final Node value;

        Assign(Target target, Node value) {
            this.target = target;
            this.value = value;
        }

        @Override
        Object eval(Run run, Frame f) {
            target.assign(run, f, value.eval(run, f));
            return null;
        }
    }

    /** {@code x += y} and the like. A list is extended in place, as the specification says. */
    static final class Augment extends Node {
        private final Place place;
        private final String op;
        private final Node before;
        private final Target target;
        private final Node value;

        Augment(Place place, String op, Node before, Target target, Node value) {
            this.place = place;
            this.op = op;
            this.before = before;
            this.target = target;
            this.value = value;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object was = before.eval(run, f);
            Object by = value.eval(run, f);
            try {
                if (op.equals("+")
                        && was instanceof Sequence.ListValue l
                        && by instanceof Sequence s) {
                    run.makes(8L * s.size());
                    l.changeable().addAll(s.toList());
                } else if (op.equals("|")
                        && was instanceof DictValue d
                        && by instanceof DictValue e) {
                    d.check();
                    run.makes(8L * e.size());
                    e.keyList().forEach(k -> d.put(k, e.getOrNull(k)));
                } else {
                    was = Ops.binary(run, op, was, by);
                }
            } catch (ScriptError e) {
                throw e.at(place);
            }
            target.assign(run, f, was);
            return null;
        }
    }

    static final class Evaluate extends Node {
        private final Node expression;

        Evaluate(Node expression) {
            this.expression = expression;
        }

        @Override
        Object eval(Run run, Frame f) {
            expression.eval(run, f);
            return null;
        }
    }

    static final class Return extends Node {
        private final Node value;

        Return(Node value) {
            this.value = value;
        }

        @Override
        Object eval(Run run, Frame f) {
            return new Returned(value == null ? None.NONE : value.eval(run, f));
        }
    }

    static final class Block extends Node {
        private final Node[] statements;

        Block(List<Node> statements) {
            this.statements = statements.toArray(new Node[0]);
        }

        @Override
        Object eval(Run run, Frame f) {
            for (Node s : statements) {
                Object flow = s.eval(run, f);
                if (flow != null) {
                    return flow;
                }
            }
            return null;
        }
    }

    static final class If extends Node {
        private final Node test;
        private final Node yes;
        private final Node no;

        If(Node test, Node yes, Node no) {
            this.test = test;
            this.yes = yes;
            this.no = no;
        }

        @Override
        Object eval(Run run, Frame f) {
            return Values.truth(test.eval(run, f))
                    ? yes.eval(run, f)
                    : no == null ? null : no.eval(run, f);
        }
    }

    static final class For extends Node {
        private final Place place;
        private final Target vars;
        private final Node over;
        private final Node body;

        For(Place place, Target vars, Node over, Node body) {
            this.place = place;
            this.vars = vars;
            this.over = over;
            this.body = body;
        }

        @Override
        Object eval(Run run, Frame f) {
            Object[] end = new Object[1];
            overEach(
                    place,
                    run,
                    over.eval(run, f),
                    v -> {
                        vars.assign(run, f, v);
                        Object flow = body.eval(run, f);
                        if (flow instanceof Returned) {
                            end[0] = flow;
                        }
                        return flow == null || flow == Jump.CONTINUE;
                    });
            return end[0];
        }
    }
}

package postgrade.script;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;
import postgrade.script.grammar.StarlarkParser.ArgContext;
import postgrade.script.grammar.StarlarkParser.ArgsContext;
import postgrade.script.grammar.StarlarkParser.BreakStmtContext;
import postgrade.script.grammar.StarlarkParser.CallSuffixContext;
import postgrade.script.grammar.StarlarkParser.CompClauseContext;
import postgrade.script.grammar.StarlarkParser.ComparisonContext;
import postgrade.script.grammar.StarlarkParser.ContinueStmtContext;
import postgrade.script.grammar.StarlarkParser.DefStmtContext;
import postgrade.script.grammar.StarlarkParser.DictOperandContext;
import postgrade.script.grammar.StarlarkParser.DotSuffixContext;
import postgrade.script.grammar.StarlarkParser.EntryContext;
import postgrade.script.grammar.StarlarkParser.ExprListContext;
import postgrade.script.grammar.StarlarkParser.ExprStmtContext;
import postgrade.script.grammar.StarlarkParser.FileContext;
import postgrade.script.grammar.StarlarkParser.FloatOperandContext;
import postgrade.script.grammar.StarlarkParser.ForStmtContext;
import postgrade.script.grammar.StarlarkParser.IfStmtContext;
import postgrade.script.grammar.StarlarkParser.IndexSuffixContext;
import postgrade.script.grammar.StarlarkParser.IntOperandContext;
import postgrade.script.grammar.StarlarkParser.ListOperandContext;
import postgrade.script.grammar.StarlarkParser.LoadBindingContext;
import postgrade.script.grammar.StarlarkParser.LoadStmtContext;
import postgrade.script.grammar.StarlarkParser.LoopVarsContext;
import postgrade.script.grammar.StarlarkParser.NameOperandContext;
import postgrade.script.grammar.StarlarkParser.OperandContext;
import postgrade.script.grammar.StarlarkParser.ParamContext;
import postgrade.script.grammar.StarlarkParser.ParamsContext;
import postgrade.script.grammar.StarlarkParser.ParenOperandContext;
import postgrade.script.grammar.StarlarkParser.PassStmtContext;
import postgrade.script.grammar.StarlarkParser.PrimaryContext;
import postgrade.script.grammar.StarlarkParser.ReturnStmtContext;
import postgrade.script.grammar.StarlarkParser.SimpleStmtContext;
import postgrade.script.grammar.StarlarkParser.SmallStmtContext;
import postgrade.script.grammar.StarlarkParser.StmtContext;
import postgrade.script.grammar.StarlarkParser.StringOperandContext;
import postgrade.script.grammar.StarlarkParser.SubscriptContext;
import postgrade.script.grammar.StarlarkParser.SuffixContext;
import postgrade.script.grammar.StarlarkParser.SuiteContext;
import postgrade.script.grammar.StarlarkParser.TestContext;

/**
 * Turns a parse tree into nodes, with every name bound to its slot. What a script misnames is found
 * here.
 */
final class Compiler {

    private static final int MOST_DEPTH = 400;

    /**
     * The names of one function, or of the file. A comprehension's variables hide others while it
     * lasts.
     */
    private static final class Scope {
        final Scope outer;
        final Map<String, Integer> names = new HashMap<>();
        int slots;
        int loops;

        Scope(Scope outer) {
            this.outer = outer;
        }

        int declare(String name) {
            return names.computeIfAbsent(name, n -> slots++);
        }
    }

    /** Finds what {@code load} names. */
    interface Loader {
        Module load(String name, Place from);
    }

    private final String file;
    private final Map<String, Object> predeclared;
    private final Loader loader;
    private Scope scope = new Scope(null);
    private int depth;

    Compiler(String file, Map<String, Object> predeclared, Loader loader) {
        this.file = file;
        this.predeclared = predeclared;
        this.loader = loader;
    }

    /** The file's statements, and the slots of its names. */
    record Compiled(Node body, Map<String, Integer> names, int slots) {}

    Compiled compile(FileContext tree) {
        tree.stmt().forEach(this::declare);
        List<Node> body = tree.stmt().stream().map(this::statement).toList();
        return new Compiled(new Node.Block(body), new LinkedHashMap<>(scope.names), scope.slots);
    }

    private Place at(ParserRuleContext c) {
        return at(c.getStart());
    }

    private Place at(Token t) {
        return new Place(file, t.getLine(), t.getCharPositionInLine() + 1);
    }

    // ---- Which names a function binds, found before its body is compiled.

    private void declare(ParseTree tree) {
        if (tree instanceof DefStmtContext def) {
            scope.declare(def.NAME().getText());
        } else if (tree instanceof ForStmtContext loop) {
            loop.loopVars().primary().forEach(this::declareTarget);
            declare(loop.suite());
        } else if (tree instanceof ExprStmtContext s) {
            if (s.op != null) {
                declareTarget(s.exprList(0));
            }
        } else if (tree instanceof LoadStmtContext l) {
            l.loadBinding().forEach(b -> scope.declare(boundName(b)));
        } else if (!(tree instanceof TestContext)) {
            for (int i = 0; i < tree.getChildCount(); i++) {
                declare(tree.getChild(i));
            }
        }
    }

    private String boundName(LoadBindingContext b) {
        return b.NAME() != null ? b.NAME().getText() : Strings.unquote(b.STRING().getText(), at(b));
    }

    private void declareTarget(ParseTree tree) {
        ParseTree t = unwrap(tree);
        if (t instanceof NameOperandContext n) {
            scope.declare(n.getText());
        } else if (t instanceof ExprListContext
                || t instanceof ParenOperandContext
                || t instanceof ListOperandContext) {
            for (int i = 0; i < t.getChildCount(); i++) {
                if (t.getChild(i) instanceof ParserRuleContext) {
                    declareTarget(t.getChild(i));
                }
            }
        }
    }

    /** Down to where the tree branches; a pair of brackets round one name is passed over. */
    private static ParseTree unwrap(ParseTree tree) {
        ParseTree t = tree;
        while (t.getChildCount() == 1 && !(t instanceof OperandContext)) {
            t = t.getChild(0);
        }
        return t;
    }

    // ---- Statements.

    private Node statement(StmtContext s) {
        if (s.defStmt() != null) {
            DefStmtContext d = s.defStmt();
            String name = d.NAME().getText();
            return new Node.Assign(
                    new Node.Slot(scope.declare(name)),
                    function(name, at(d), d.params(), d.suite()));
        } else if (s.ifStmt() != null) {
            return conditional(s.ifStmt());
        } else if (s.forStmt() != null) {
            ForStmtContext l = s.forStmt();
            Node over = list(l.exprList());
            Node.Target vars = vars(l.loopVars());
            scope.loops++;
            Node body = suite(l.suite());
            scope.loops--;
            return new Node.For(at(l), vars, over, body);
        }
        return simple(s.simpleStmt());
    }

    private Node conditional(IfStmtContext s) {
        int tests = s.test().size();
        Node no = s.suite().size() > tests ? suite(s.suite(tests)) : null;
        for (int i = tests - 1; i >= 0; i--) {
            no = new Node.If(test(s.test(i)), suite(s.suite(i)), no);
        }
        return no;
    }

    private Node suite(SuiteContext s) {
        return s.simpleStmt() != null
                ? simple(s.simpleStmt())
                : new Node.Block(s.stmt().stream().map(this::statement).toList());
    }

    private Node simple(SimpleStmtContext s) {
        List<Node> all = s.smallStmt().stream().map(this::small).toList();
        return all.size() == 1 ? all.get(0) : new Node.Block(all);
    }

    private Node small(SmallStmtContext s) {
        if (s instanceof ReturnStmtContext r) {
            if (scope.outer == null) {
                throw new ScriptError(at(s), "return outside a function");
            }
            return new Node.Return(r.exprList() == null ? null : list(r.exprList()));
        } else if (s instanceof BreakStmtContext || s instanceof ContinueStmtContext) {
            if (scope.loops == 0) {
                throw new ScriptError(at(s), s.getText() + " outside a loop");
            }
            Node.Jump jump = s instanceof BreakStmtContext ? Node.Jump.BREAK : Node.Jump.CONTINUE;
            return new Node.Constant(jump);
        } else if (s instanceof PassStmtContext) {
            return new Node.Block(List.of());
        } else if (s instanceof LoadStmtContext l) {
            return load(l);
        }
        return expression((ExprStmtContext) s);
    }

    private Node load(LoadStmtContext l) {
        if (scope.outer != null
                || !(l.getParent().getParent().getParent() instanceof FileContext)) {
            throw new ScriptError(at(l), "load is allowed at the top of a file only");
        }
        Module from =
                loader.load(
                        Strings.unquote(l.STRING().getText(), at(l.STRING().getSymbol())),
                        at(l.STRING().getSymbol()));
        List<Node> all = new ArrayList<>();
        for (LoadBindingContext b : l.loadBinding()) {
            String name = Strings.unquote(b.STRING().getText(), at(b));
            Object v = name.startsWith("_") ? null : from.global(name);
            if (v == null) {
                throw new ScriptError(
                        at(b),
                        from.file()
                                + " has no "
                                + name
                                + (name.startsWith("_")
                                        ? " to load: a name that begins with _ is private"
                                        : ""));
            }
            all.add(
                    new Node.Assign(
                            new Node.Slot(scope.declare(boundName(b))), new Node.Constant(v)));
        }
        return new Node.Block(all);
    }

    private Node expression(ExprStmtContext s) {
        if (s.op == null) {
            return new Node.Evaluate(list(s.exprList(0)));
        }
        Node value = list(s.exprList(1));
        Node.Target target = target(s.exprList(0));
        if (s.op.getText().equals("=")) {
            return new Node.Assign(target, value);
        }
        if (target instanceof Node.Unpacked) {
            throw new ScriptError(at(s), "cannot assign to several variables by " + s.op.getText());
        }
        String op = s.op.getText().substring(0, s.op.getText().length() - 1);
        Node before =
                target instanceof Node.Element e
                        ? new Node.Index(e.place(), e.of(), e.at())
                        : list(s.exprList(0));
        return new Node.Augment(at(s.op), op, before, target, value);
    }

    // ---- Targets.

    private Node.Target target(ParseTree tree) {
        ParseTree t = unwrap(tree);
        if (t instanceof NameOperandContext n) {
            return new Node.Slot(scope.names.get(n.getText()));
        }
        if (t instanceof ParenOperandContext p && p.exprList() != null) {
            return target(p.exprList());
        }
        if (t instanceof ExprListContext l) {
            return new Node.Unpacked(at(l), l.test().stream().map(this::target).toList());
        }
        if (t instanceof ListOperandContext l && l.compClause().isEmpty() && !l.test().isEmpty()) {
            return new Node.Unpacked(at(l), l.test().stream().map(this::target).toList());
        }
        if (t instanceof PrimaryContext p
                && p.suffix(p.suffix().size() - 1) instanceof IndexSuffixContext i
                && i.subscript().exprList() != null) {
            return new Node.Element(
                    at(i), primary(p, p.suffix().size() - 1), list(i.subscript().exprList()));
        }
        throw new ScriptError(
                at((ParserRuleContext) (t instanceof TerminalNode n ? n.getParent() : t)),
                "cannot assign to this");
    }

    private Node.Target vars(LoopVarsContext l) {
        List<Node.Target> all = l.primary().stream().map(this::target).toList();
        boolean one =
                all.size() == 1 && !(l.getChild(l.getChildCount() - 1) instanceof TerminalNode);
        return one ? all.get(0) : new Node.Unpacked(at(l), all);
    }

    // ---- Functions.

    private Node function(String name, Place place, ParamsContext given, ParserRuleContext body) {
        Scope inner = new Scope(scope);
        List<Function.Parameter> parameters = new ArrayList<>();
        int positional = 0;
        int rest = -1;
        int named = -1;
        boolean namedOnly = false;
        boolean optional = false;
        for (ParamContext p : given == null ? List.<ParamContext>of() : given.param()) {
            String text = p.NAME() == null ? null : p.NAME().getText();
            if (named >= 0) {
                throw new ScriptError(at(p), "nothing may follow **" + " in the parameters");
            }
            if (text != null && inner.names.containsKey(text)) {
                throw new ScriptError(at(p), "parameter " + text + " stands twice");
            }
            if (p.STARSTAR() != null) {
                named = inner.declare(text);
            } else if (p.STAR() != null) {
                if (namedOnly) {
                    throw new ScriptError(at(p), "* stands twice in the parameters");
                }
                namedOnly = true;
                rest = text == null ? -1 : inner.declare(text);
            } else {
                Node fallback = p.test() == null ? null : test(p.test());
                if (fallback == null && optional && !namedOnly) {
                    throw new ScriptError(
                            at(p), "parameter " + text + " without a default follows one with");
                }
                optional |= fallback != null;
                parameters.add(
                        new Function.Parameter(text, inner.declare(text), fallback, namedOnly));
                positional += namedOnly ? 0 : 1;
            }
        }
        scope = inner;
        Node code;
        if (body instanceof SuiteContext s) {
            declare(s);
            code = suite(s);
        } else {
            code = new Node.Return(test((TestContext) body));
        }
        scope = inner.outer;
        return new Node.Def(
                new Function.Code(
                        name, place, parameters, positional, rest, named, inner.slots, code));
    }

    // ---- Expressions.

    private Node list(ExprListContext l) {
        boolean one = l.test().size() == 1 && l.getChildCount() == 1;
        return one ? test(l.test(0)) : new Node.ListOf(tests(l.test()), true);
    }

    private List<Node> tests(List<TestContext> all) {
        return all.stream().map(this::test).toList();
    }

    private Node test(TestContext t) {
        if (++depth > MOST_DEPTH) {
            throw new ScriptError(at(t), "expression nested too deeply");
        }
        try {
            if (t.getChild(0) instanceof TerminalNode) {
                return function("lambda", at(t), t.params(), t.test());
            }
            Node first = any(t.orTest(0));
            return t.orTest().size() == 1
                    ? first
                    : new Node.Conditional(any(t.orTest(1)), first, test(t.test()));
        } finally {
            depth--;
        }
    }

    /**
     * Any of the levels between orTest and unary: operands with operators between them, or one
     * operand.
     */
    private Node any(ParseTree tree) {
        ParseTree t = tree;
        while (t.getChildCount() == 1 && !(t instanceof PrimaryContext)) {
            t = t.getChild(0);
        }
        if (t instanceof PrimaryContext p) {
            return primary(p, p.suffix().size());
        }
        ParserRuleContext c = (ParserRuleContext) t;
        if (++depth > MOST_DEPTH) {
            throw new ScriptError(at(c), "expression nested too deeply");
        }
        try {
            if (t.getChildCount() == 2) {
                return new Node.Unary(at(c), t.getChild(0).getText(), any(t.getChild(1)));
            }
            Node left = any(t.getChild(0));
            if (t.getChildCount() / 2 + depth > MOST_DEPTH) {
                throw new ScriptError(at(c), "expression too long");
            }
            for (int i = 1; i < t.getChildCount(); i += 2) {
                left = binary(t, i, left, any(t.getChild(i + 1)));
            }
            return left;
        } finally {
            depth--;
        }
    }

    private Node binary(ParseTree t, int i, Node left, Node right) {
        if (t instanceof ComparisonContext c) {
            String op = c.compOp().getChildCount() == 2 ? "not in" : c.compOp().getText();
            Place place = at(c.compOp());
            return op.equals("==") || op.equals("!=")
                    ? new Node.Equal(place, op.equals("=="), left, right)
                    : new Node.Binary(place, op, left, right);
        }
        Token op = ((TerminalNode) t.getChild(i)).getSymbol();
        return switch (op.getText()) {
            case "and" -> new Node.Logical(true, left, right);
            case "or" -> new Node.Logical(false, left, right);
            default -> new Node.Binary(at(op), op.getText(), left, right);
        };
    }

    /** A primary with the first of its suffixes. */
    private Node primary(PrimaryContext p, int suffixes) {
        if (suffixes > MOST_DEPTH) {
            throw new ScriptError(at(p), "expression too long");
        }
        Node node = operand(p.operand());
        Node before = null;
        for (int i = 0; i < suffixes; i++) {
            SuffixContext s = p.suffix(i);
            Node of = node;
            if (s instanceof DotSuffixContext d) {
                node = new Node.Dot(at(d.NAME().getSymbol()), of, d.NAME().getText());
            } else if (s instanceof CallSuffixContext c) {
                node = call(p, i, c, of, before);
            } else {
                node = index((IndexSuffixContext) s, of);
            }
            before = of;
        }
        return node;
    }

    private Node call(PrimaryContext p, int i, CallSuffixContext c, Node callee, Node receiver) {
        List<Node.Argument> arguments = arguments(c.args());
        Node call = new Node.Call(at(c), callee, arguments);
        if (i > 0
                && p.suffix(i - 1) instanceof DotSuffixContext d
                && c.args() != null
                && c.args().arg().size() == 1
                && d.NAME().getText().matches("startswith|endswith")
                && unwrap(c.args().arg(0)) instanceof StringOperandContext s) {
            return new Node.Affix(
                    receiver,
                    d.NAME().getText().equals("startswith"),
                    Strings.unquote(s.getText(), at(s)),
                    call);
        }
        return call;
    }

    private List<Node.Argument> arguments(ArgsContext args) {
        List<Node.Argument> all = new ArrayList<>();
        boolean later = false;
        for (ArgContext a : args == null ? List.<ArgContext>of() : args.arg()) {
            Node v = test(a.test());
            Node.Kind kind =
                    a.STAR() != null
                            ? Node.Kind.REST
                            : a.STARSTAR() != null
                                    ? Node.Kind.NAMED_REST
                                    : a.NAME() != null ? Node.Kind.NAMED : Node.Kind.PLAIN;
            if (kind == Node.Kind.PLAIN && later) {
                throw new ScriptError(at(a), "an argument without a name follows one with");
            }
            later |= kind != Node.Kind.PLAIN;
            all.add(new Node.Argument(kind, a.NAME() == null ? null : a.NAME().getText(), v));
        }
        return all;
    }

    private Node index(IndexSuffixContext s, Node of) {
        SubscriptContext c = s.subscript();
        if (c.exprList() != null) {
            return new Node.Index(at(s), of, list(c.exprList()));
        }
        Node none = new Node.Constant(Values.None.NONE);
        return new Node.Slice(
                at(s),
                of,
                c.lower == null ? none : test(c.lower),
                c.upper == null ? none : test(c.upper),
                c.step == null ? none : test(c.step));
    }

    private Node operand(OperandContext o) {
        if (o instanceof NameOperandContext n) {
            return name(n);
        } else if (o instanceof IntOperandContext n) {
            return new Node.Constant(integer(n.getText()));
        } else if (o instanceof FloatOperandContext n) {
            return new Node.Constant(Double.parseDouble(n.getText()));
        } else if (o instanceof StringOperandContext s) {
            return new Node.Constant(Strings.unquote(s.getText(), at(s)));
        } else if (o instanceof ListOperandContext l) {
            return l.compClause().isEmpty()
                    ? new Node.ListOf(tests(l.test()), false)
                    : comprehension(at(l), l.compClause(), null, l.test(0));
        } else if (o instanceof DictOperandContext d) {
            if (!d.compClause().isEmpty()) {
                EntryContext e = d.entry(0);
                return comprehension(at(d), d.compClause(), e.test(0), e.test(1));
            }
            return new Node.DictOf(
                    at(d),
                    d.entry().stream().map(e -> test(e.test(0))).toList(),
                    d.entry().stream().map(e -> test(e.test(1))).toList());
        }
        ParenOperandContext p = (ParenOperandContext) o;
        return p.exprList() == null ? new Node.ListOf(List.of(), true) : list(p.exprList());
    }

    private Object integer(String text) {
        String digits = text.toLowerCase(java.util.Locale.ROOT);
        if (digits.length() > 5000) {
            throw new ScriptError("int too large");
        }
        int radix =
                digits.startsWith("0x")
                        ? 16
                        : digits.startsWith("0o") ? 8 : digits.startsWith("0b") ? 2 : 10;
        return Values.number(new BigInteger(radix == 10 ? digits : digits.substring(2), radix));
    }

    private Node name(NameOperandContext n) {
        String name = n.getText();
        int out = 0;
        for (Scope s = scope; s != null; s = s.outer, out++) {
            Integer slot = s.names.get(name);
            if (slot != null) {
                return new Node.Variable(at(n), name, out, slot);
            }
        }
        Object v = predeclared.get(name);
        v = v == null ? Builtins.ALL.get(name) : v;
        if (v == null) {
            throw new ScriptError(at(n), "name " + name + " is not defined");
        }
        return new Node.Constant(v);
    }

    private Node comprehension(
            Place place, List<CompClauseContext> clauses, TestContext key, TestContext value) {
        Map<String, Integer> before = new HashMap<>(scope.names);
        List<Node.Clause> all = new ArrayList<>();
        if (clauses.get(0).loopVars() == null) {
            throw new ScriptError(at(clauses.get(0)), "a comprehension begins with for");
        }
        for (CompClauseContext c : clauses) {
            Node over = any(c.orTest());
            Node.Target vars = null;
            if (c.loopVars() != null) {
                c.loopVars().primary().forEach(this::declareFresh);
                vars = vars(c.loopVars());
            }
            all.add(new Node.Clause(at(c), vars, over));
        }
        Node k = key == null ? null : test(key);
        Node v = test(value);
        scope.names.clear();
        scope.names.putAll(before);
        return new Node.Comprehension(place, all, k, v);
    }

    /**
     * A comprehension's variable has a slot of its own, also where the function has one of that
     * name.
     */
    private void declareFresh(ParseTree tree) {
        ParseTree t = unwrap(tree);
        if (t instanceof NameOperandContext n) {
            scope.names.put(n.getText(), scope.slots++);
        } else if (t.getChildCount() > 1 && !(t instanceof PrimaryContext)) {
            for (int i = 0; i < t.getChildCount(); i++) {
                declareFresh(t.getChild(i));
            }
        }
    }
}

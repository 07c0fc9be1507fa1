package postgrade.script;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.atn.PredictionMode;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import postgrade.script.grammar.StarlarkLexer;
import postgrade.script.grammar.StarlarkParser;

/**
 * Runs settings scripts, after the Starlark specification. A script reads nothing but siblings that
 * it loads, writes nothing but what it prints, and always ends: by itself, or with a {@link
 * ScriptError}.
 */
public final class Script {

    private static final int MOST_SOURCE = 1 << 20;

    /** Steps for running a file with all that it loads. */
    public static final long FILE_STEPS = 10_000_000;

    private final Map<String, Object> predeclared;
    private final Consumer<String> printer;
    private final Map<Path, Module> loaded = new HashMap<>();
    private final List<Path> loading = new ArrayList<>();

    private Script(Map<String, Object> predeclared, Consumer<String> printer) {
        this.predeclared = predeclared;
        this.printer = printer;
    }

    /**
     * Runs a file.
     *
     * @param predeclared names that the host adds to those of the language: values, or {@link
     *     #function}s
     * @param printer takes what the script prints
     */
    public static Module run(Path file, Map<String, Object> predeclared, Consumer<String> printer) {
        return new Script(predeclared, printer).load(file.toAbsolutePath().normalize(), null);
    }

    /** Runs a text that has no file; it can load nothing. */
    public static Module run(
            String name, String text, Map<String, Object> predeclared, Consumer<String> printer) {
        return new Script(predeclared, printer).module(name, text, null);
    }

    /**
     * What a host's function does, given its arguments in order; null for an optional one left out.
     */
    public interface HostBody {
        Object call(Object[] args);
    }

    /**
     * A function of the host's. Parameters are names separated by spaces; an optional one ends in
     * {@code ?}.
     */
    public static Object function(String name, String parameters, HostBody body) {
        return new Builtin(name, parameters, (run, args) -> body.call(args));
    }

    /** The error that a host's function ends a script with; the place is that of the call. */
    public static ScriptError error(String what) {
        return new ScriptError(what);
    }

    static ScriptError tooDeep() {
        return new ScriptError("nested too deeply");
    }

    private Module load(Path file, Place from) {
        Module known = loaded.get(file);
        if (known != null) {
            return known;
        }
        if (loading.contains(file)) {
            throw new ScriptError(from, "the files load each other: " + file.getFileName());
        }
        String text;
        try {
            if (Files.size(file) > MOST_SOURCE) {
                throw new ScriptError(from, file + ": too large for a script");
            }
            text = Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new ScriptError(from, file + ": not UTF-8");
        } catch (IOException e) {
            throw new ScriptError(
                    from, file + ": cannot be read" + (Files.exists(file) ? "" : ": no such file"));
        }
        loading.add(file);
        Module module = module(file.getFileName().toString(), text, file.getParent());
        loading.remove(file);
        loaded.put(file, module);
        return module;
    }

    private Module sibling(Path folder, String name, Place from) {
        if (folder == null
                || name.isEmpty()
                || name.contains("/")
                || name.contains("\\")
                || !name.endsWith(".star")) {
            throw new ScriptError(
                    from,
                    "load takes the name of a .star file in the same folder, not "
                            + Values.repr(name));
        }
        try {
            return load(folder.resolve(name), from);
        } catch (java.nio.file.InvalidPathException e) {
            throw new ScriptError(from, "not a file's name: " + Values.repr(name));
        }
    }

    private Module module(String name, String text, Path folder) {
        if (text.length() > MOST_SOURCE) {
            throw new ScriptError(name + ": too large for a script");
        }
        try {
            Compiler.Compiled c =
                    new Compiler(
                                    name,
                                    predeclared,
                                    (sibling, from) -> sibling(folder, sibling, from))
                            .compile(
                                    parse(
                                            name,
                                            text.startsWith("\ufeff") ? text.substring(1) : text));
            Frame frame = new Frame(c.slots(), null);
            c.body().eval(new Run(FILE_STEPS, printer), frame);
            return new Module(name, c.names(), frame);
        } catch (StackOverflowError e) {
            throw tooDeep(); // Guards the host: how deep the parser goes for a text cannot be told
            // beforehand.
        }
    }

    private static StarlarkParser.FileContext parse(String name, String text) {
        BaseErrorListener complain =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException e) {
                        throw new ScriptError(
                                new Place(name, line, column + 1),
                                "syntax error"
                                        + (symbol instanceof Token t
                                                ? " at " + shown(t)
                                                : ": " + message));
                    }
                };
        StarlarkLexer lexer = new StarlarkLexer(CharStreams.fromString(text, name));
        lexer.removeErrorListeners();
        lexer.addErrorListener(complain);
        StarlarkParser parser =
                new StarlarkParser(new CommonTokenStream(new Indenter(lexer, name)));
        parser.removeErrorListeners();
        parser.addErrorListener(complain);
        parser.getInterpreter().setPredictionMode(PredictionMode.SLL);
        try {
            return parser.file();
        } catch (ParseCancellationException e) {
            throw new ScriptError(name + ": syntax error");
        }
    }

    private static String shown(Token t) {
        return switch (t.getType()) {
            case Token.EOF -> "the end of the file";
            case StarlarkLexer.NEWLINE -> "the end of the line";
            case StarlarkParser.INDENT -> "an unexpected indentation";
            case StarlarkParser.DEDENT -> "the end of an indented block";
            default ->
                    "'"
                            + (t.getText().length() > 40
                                    ? t.getText().substring(0, 40) + "..."
                                    : t.getText())
                            + "'";
        };
    }
}

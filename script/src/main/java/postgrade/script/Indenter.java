package postgrade.script;

import java.util.ArrayDeque;
import java.util.Deque;
import org.antlr.v4.runtime.CharStream;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.TokenFactory;
import org.antlr.v4.runtime.TokenSource;
import postgrade.script.grammar.StarlarkLexer;
import postgrade.script.grammar.StarlarkParser;

/**
 * Turns line ends and leading spaces into NEWLINE, INDENT and DEDENT, as the specification says.
 */
final class Indenter implements TokenSource {

    private static final int MOST_DEPTH = 100;

    private final StarlarkLexer lexer;
    private final String file;
    private final ArrayDeque<Token> ready = new ArrayDeque<>();
    private final Deque<Integer> indents = new ArrayDeque<>();
    private int brackets;
    private boolean lineBegins = true;

    Indenter(StarlarkLexer lexer, String file) {
        this.lexer = lexer;
        this.file = file;
        indents.push(0);
    }

    @Override
    public Token nextToken() {
        while (ready.isEmpty()) {
            gather();
        }
        return ready.poll();
    }

    private void gather() {
        int indent = 0;
        Token t = lexer.nextToken();
        if (lineBegins && brackets == 0 && t.getType() == StarlarkLexer.SPACE) {
            if (t.getText().indexOf('\t') >= 0) {
                throw new ScriptError(at(t), "a tab in the indentation; use spaces");
            }
            indent = t.getText().length();
            t = lexer.nextToken();
        }
        switch (t.getType()) {
            case StarlarkLexer.SPACE -> {}
            case StarlarkLexer.NEWLINE -> {
                if (!lineBegins && brackets == 0) {
                    ready.add(t);
                    lineBegins = true;
                }
            }
            case StarlarkLexer.UNKNOWN ->
                    throw new ScriptError(
                            at(t), "unexpected character " + Values.repr(t.getText()));
            case StarlarkLexer.RESERVED ->
                    throw new ScriptError(at(t), "'" + t.getText() + "' is a reserved word");
            case Token.EOF -> {
                if (!lineBegins) {
                    ready.add(made(StarlarkLexer.NEWLINE, t));
                }
                lineBegins = true;
                dedentTo(0, t);
                ready.add(t);
            }
            default -> {
                if (lineBegins && brackets == 0) {
                    lineBegins = false;
                    indentTo(indent, t);
                }
                count(t);
                ready.add(t);
            }
        }
    }

    private void indentTo(int indent, Token t) {
        if (indent > indents.peek()) {
            if (indents.size() > MOST_DEPTH) {
                throw new ScriptError(at(t), "indented too deeply");
            }
            indents.push(indent);
            ready.add(made(StarlarkParser.INDENT, t));
        } else {
            dedentTo(indent, t);
            if (indents.peek() != indent) {
                throw new ScriptError(at(t), "unindent does not match any outer indentation");
            }
        }
    }

    private void dedentTo(int indent, Token t) {
        while (indents.peek() > indent) {
            indents.pop();
            ready.add(made(StarlarkParser.DEDENT, t));
        }
    }

    private void count(Token t) {
        switch (t.getText()) {
            case "(", "[", "{" -> {
                if (++brackets > MOST_DEPTH) {
                    throw new ScriptError(at(t), "brackets nested too deeply");
                }
            }
            case ")", "]", "}" -> brackets = Math.max(0, brackets - 1);
            default -> {}
        }
    }

    private static Token made(int type, Token at) {
        CommonToken token = new CommonToken(at);
        token.setType(type);
        token.setText("");
        return token;
    }

    private Place at(Token t) {
        return new Place(file, t.getLine(), t.getCharPositionInLine() + 1);
    }

    @Override
    public int getLine() {
        return lexer.getLine();
    }

    @Override
    public int getCharPositionInLine() {
        return lexer.getCharPositionInLine();
    }

    @Override
    public CharStream getInputStream() {
        return lexer.getInputStream();
    }

    @Override
    public String getSourceName() {
        return file;
    }

    @Override
    public void setTokenFactory(TokenFactory<?> factory) {
        lexer.setTokenFactory(factory);
    }

    @Override
    public TokenFactory<? extends Token> getTokenFactory() {
        return lexer.getTokenFactory();
    }
}

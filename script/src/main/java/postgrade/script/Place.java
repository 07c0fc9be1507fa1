package postgrade.script;

/** Where in a script: line and column count from 1. */
public record Place(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}

package postgrade.calendar;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import postgrade.window.InvalidCalendarException;

/**
 * The unfolded content lines of a calendar, each with the number of its first line in the text, by
 * which errors are reported. Lines are checked here before the library's parser sees them, since it
 * would join a line without a colon to the next one.
 */
final class ContentLines {

    private static final Pattern NAME_AND_PARAMETERS =
            Pattern.compile(
                    "[A-Za-z0-9-]+(;[A-Za-z0-9-]+=(\"[^\"]*\"|[^\",;:]*)(,(\"[^\"]*\"|[^\",;:]*))*+)*+");
    private static final int MAX_LINE_LENGTH = 65_536;

    /** The regular expression matches groups by recursion, so its input must be short. */
    private static final int MAX_HEAD_LENGTH = 1_000;

    private final List<String> lines = new ArrayList<>();
    private final List<Integer> lineNumbers = new ArrayList<>();

    ContentLines(String text) {
        StringBuilder line = new StringBuilder();
        int firstLineNumber = 0;
        int number = 0;
        for (int position = 0; position < text.length(); ) {
            int end = text.indexOf('\n', position);
            end = end < 0 ? text.length() : end;
            String physicalLine =
                    text.substring(
                            position,
                            end > position && text.charAt(end - 1) == '\r' ? end - 1 : end);
            position = end + 1;
            number++;
            if (firstLineNumber > 0
                    && !physicalLine.isEmpty()
                    && (physicalLine.charAt(0) == ' ' || physicalLine.charAt(0) == '\t')) {
                line.append(physicalLine, 1, physicalLine.length());
                if (line.length() > MAX_LINE_LENGTH) {
                    throw new InvalidCalendarException(
                            firstLineNumber,
                            propertyName(line.toString()),
                            "is longer than " + MAX_LINE_LENGTH + " characters");
                }
                continue;
            }
            add(line, firstLineNumber);
            line.setLength(0);
            line.append(physicalLine);
            firstLineNumber = number;
        }
        add(line, firstLineNumber);
    }

    private void add(StringBuilder line, int number) {
        String content = line.toString();
        if (content.isBlank()) {
            return;
        }
        for (int i = 0; i < content.length(); i++) {
            if (content.charAt(i) < ' ' && content.charAt(i) != '\t') {
                throw new InvalidCalendarException(
                        number, propertyName(content), "holds a control character");
            }
        }
        int colon = colonIndex(content);
        if (colon < 0 || !NAME_AND_PARAMETERS.matcher(content.substring(0, colon)).matches()) {
            throw new InvalidCalendarException(
                    number,
                    propertyName(content),
                    "is no content line: name, parameters, colon, value");
        }
        lines.add(content);
        lineNumbers.add(number);
    }

    /** Returns the index of the colon before the value; -1 if there is none. */
    private static int colonIndex(String content) {
        boolean quoted = false;
        for (int i = 0; i < Math.min(MAX_HEAD_LENGTH, content.length()); i++) {
            char c = content.charAt(i);
            quoted ^= c == '"';
            if (c == ':' && !quoted) {
                return i;
            }
        }
        return -1;
    }

    private static String propertyName(String content) {
        int end = 0;
        while (end < content.length()
                && end < 40
                && (Character.isLetterOrDigit(content.charAt(end)) || content.charAt(end) == '-')) {
            end++;
        }
        return end == 0 ? "line" : content.substring(0, end);
    }

    /** Returns the line number of the i-th content line, or of the last one if there are fewer. */
    int lineNumber(int i) {
        return lineNumbers.isEmpty()
                ? 1
                : lineNumbers.get(Math.max(0, Math.min(i, lineNumbers.size() - 1)));
    }

    String unfolded() {
        return String.join("\r\n", lines) + "\r\n";
    }
}

package postgrade.calendar;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import postgrade.window.InvalidCalendarException;

/**
 * The content lines of a calendar, unfolded, each with the number of its first line in the text:
 * faults are told by it. The library's parser reads what is left here; it would take a line without
 * a colon together with the next.
 */
final class Lines {

    private static final Pattern HEAD =
            Pattern.compile(
                    "[A-Za-z0-9-]+(;[A-Za-z0-9-]+=(\"[^\"]*\"|[^\",;:]*)(,(\"[^\"]*\"|[^\",;:]*))*+)*+");
    private static final int LONGEST = 65_536;

    /** A pattern's groups are read by recursion, so what it is given must be short. */
    private static final int LONGEST_HEAD = 1_000;

    private final List<String> lines = new ArrayList<>();
    private final List<Integer> numbers = new ArrayList<>();

    Lines(String text) {
        StringBuilder line = new StringBuilder();
        int begun = 0;
        int number = 0;
        for (int at = 0; at < text.length(); ) {
            int end = text.indexOf('\n', at);
            end = end < 0 ? text.length() : end;
            String physical =
                    text.substring(at, end > at && text.charAt(end - 1) == '\r' ? end - 1 : end);
            at = end + 1;
            number++;
            if (begun > 0
                    && !physical.isEmpty()
                    && (physical.charAt(0) == ' ' || physical.charAt(0) == '\t')) {
                line.append(physical, 1, physical.length());
                if (line.length() > LONGEST) {
                    throw new InvalidCalendarException(
                            begun,
                            name(line.toString()),
                            "is longer than " + LONGEST + " characters");
                }
                continue;
            }
            add(line, begun);
            line.setLength(0);
            line.append(physical);
            begun = number;
        }
        add(line, begun);
    }

    private void add(StringBuilder line, int number) {
        String content = line.toString();
        if (content.isBlank()) {
            return;
        }
        for (int i = 0; i < content.length(); i++) {
            if (content.charAt(i) < ' ' && content.charAt(i) != '\t') {
                throw new InvalidCalendarException(
                        number, name(content), "holds a control character");
            }
        }
        int colon = colon(content);
        if (colon < 0 || !HEAD.matcher(content.substring(0, colon)).matches()) {
            throw new InvalidCalendarException(
                    number, name(content), "is no content line: name, parameters, colon, value");
        }
        lines.add(content);
        numbers.add(number);
    }

    /** Where the value begins; -1 where there is none. */
    private static int colon(String content) {
        boolean quoted = false;
        for (int i = 0; i < Math.min(LONGEST_HEAD, content.length()); i++) {
            char c = content.charAt(i);
            quoted ^= c == '"';
            if (c == ':' && !quoted) {
                return i;
            }
        }
        return -1;
    }

    private static String name(String content) {
        int end = 0;
        while (end < content.length()
                && end < 40
                && (Character.isLetterOrDigit(content.charAt(end)) || content.charAt(end) == '-')) {
            end++;
        }
        return end == 0 ? "line" : content.substring(0, end);
    }

    /** Of the i-th content line, or the last where there are fewer. */
    int number(int i) {
        return numbers.isEmpty() ? 1 : numbers.get(Math.max(0, Math.min(i, numbers.size() - 1)));
    }

    String unfolded() {
        return String.join("\r\n", lines) + "\r\n";
    }
}

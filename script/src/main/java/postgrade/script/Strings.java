package postgrade.script;

/** Reads string literals. */
final class Strings {

    private Strings() {}

    static String unquote(String literal, Place place) {
        boolean raw = literal.charAt(0) == 'r' || literal.charAt(0) == 'R';
        int from = raw ? 1 : 0;
        int quotes = literal.startsWith("\"\"\"", from) || literal.startsWith("'''", from) ? 3 : 1;
        String body =
                literal.substring(from + quotes, literal.length() - quotes).replace("\r\n", "\n");
        if (raw || body.indexOf('\\') < 0) {
            return body;
        }
        StringBuilder to = new StringBuilder();
        for (int i = 0; i < body.length(); i++) {
            char c = body.charAt(i);
            if (c != '\\') {
                to.append(c);
                continue;
            }
            c = body.charAt(++i);
            int simple = "abfnrtv\\'\"\n".indexOf(c);
            if (simple >= 0) {
                to.append(
                        new String[] {
                                    "\u0007", "\b", "\f", "\n", "\r", "\t", "\u000b", "\\", "'",
                                    "\"", ""
                                }
                                [simple]);
            } else if (c >= '0' && c <= '7') {
                int end = i;
                while (end < body.length()
                        && end < i + 3
                        && body.charAt(end) >= '0'
                        && body.charAt(end) <= '7') {
                    end++;
                }
                to.append((char) Integer.parseInt(body.substring(i, end), 8));
                i = end - 1;
            } else if (c == 'x' || c == 'u' || c == 'U') {
                int digits = c == 'x' ? 2 : c == 'u' ? 4 : 8;
                int point = hex(body, i + 1, digits);
                if (!Character.isValidCodePoint(point)) {
                    throw new ScriptError(place, "bad escape \\" + c + " in a string");
                }
                to.appendCodePoint(point);
                i += digits;
            } else {
                throw new ScriptError(place, "unknown escape \\" + c + " in a string");
            }
        }
        return to.toString();
    }

    private static int hex(String body, int from, int digits) {
        if (from + digits > body.length()) {
            return -1;
        }
        int value = 0;
        for (int i = from; i < from + digits; i++) {
            int d = Character.digit(body.charAt(i), 16);
            if (d < 0 || value > Character.MAX_CODE_POINT) {
                return -1;
            }
            value = value * 16 + d;
        }
        return value;
    }
}

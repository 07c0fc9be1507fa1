import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes and reads the little JSON that the stand-ins need. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static String quote(String value) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    /** Writes maps, lists, strings, numbers and booleans. */
    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> members = new ArrayList<>();
            map.forEach((name, member) -> members.add(quote("" + name) + ":" + write(member)));
            return "{" + String.join(",", members) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        return value instanceof String string ? quote(string) : String.valueOf(value);
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    private char skip() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char c = skip();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            for (at++; skip() != '}'; ) {
                if (text.charAt(at) == ',') {
                    at++;
                    skip();
                }
                String name = string();
                skip();
                at++;
                map.put(name, value());
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            for (at++; skip() != ']'; ) {
                if (text.charAt(at) == ',') {
                    at++;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> "null";
            default -> Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c == '\\') {
                c = text.charAt(++at);
                if (c == 'u') {
                    c = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
                    at += 4;
                } else {
                    c = c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }
}

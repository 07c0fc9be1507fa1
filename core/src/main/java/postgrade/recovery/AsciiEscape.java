package postgrade.recovery;

/**
 * Escapes arbitrary names as printable ASCII words without blanks. An empty name becomes a single
 * backslash.
 */
final class AsciiEscape {

    private AsciiEscape() {}

    static String escape(String name) {
        if (name.isEmpty()) {
            return "\\";
        }
        StringBuilder word = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c > ' ' && c < 127 && c != '\\') {
                word.append(c);
            } else {
                word.append(String.format("\\%04x", (int) c));
            }
        }
        return word.toString();
    }

    static String unescape(String word) {
        if (word.equals("\\")) {
            return "";
        }
        StringBuilder name = new StringBuilder();
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) == '\\') {
                name.append((char) Integer.parseInt(word.substring(i + 1, i + 5), 16));
                i += 4;
            } else {
                name.append(word.charAt(i));
            }
        }
        return name.toString();
    }

    static byte[] bytes(String ascii) {
        byte[] bytes = new byte[ascii.length()];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) ascii.charAt(i);
        }
        return bytes;
    }

    static String text(byte[] bytes) {
        StringBuilder text = new StringBuilder(bytes.length);
        for (byte b : bytes) {
            text.append((char) (b & 0xff));
        }
        return text.toString();
    }
}

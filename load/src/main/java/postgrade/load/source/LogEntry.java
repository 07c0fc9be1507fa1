package postgrade.load.source;

import java.nio.charset.StandardCharsets;

/** An entry of a log line. Its texts are made only when asked for: most plans ask for few. */
final class LogEntry extends Entry {

    private LogFormat format;
    private byte[] bytes;
    private int length;
    private String target;
    private int[] from = new int[16];
    private int[] to = new int[16];

    void begin(LogFormat f, byte[] of, int count, int fields) {
        format = f;
        bytes = of;
        length = count;
        target = null;
        if (from.length < fields) {
            from = new int[fields];
            to = new int[fields];
        }
    }

    void span(int field, int begin, int end) {
        from[field] = begin;
        to[field] = end;
    }

    @Override
    public String field(String name) {
        int at = format.place(name);
        if (at >= 0) {
            return text(from[at], to[at]);
        }
        return switch (name) {
            case Fields.METHOD -> word(0);
            case Fields.TARGET -> target(format.pathAt, format.queryAt);
            case Fields.PROTOCOL -> word(2);
            default -> null;
        };
    }

    @Override
    public String target() {
        if (target == null) {
            target =
                    format.targetAt >= 0
                            ? text(from[format.targetAt], to[format.targetAt])
                            : target(format.pathAt, format.queryAt);
        }
        return target;
    }

    private String target(int path, int query) {
        if (path < 0) {
            return word(1);
        }
        String q = query < 0 ? "" : text(from[query], to[query]);
        return text(from[path], to[path])
                + (q.isEmpty() || q.equals("-") ? "" : (q.startsWith("?") ? "" : "?") + q);
    }

    /**
     * Method, target or protocol out of the request line. A target may hold spaces: clients send
     * what they like.
     */
    private String word(int which) {
        int at = format.requestAt;
        if (at < 0) {
            return which == 1 ? "" : null;
        }
        int first = from[at];
        while (first < to[at] && bytes[first] != ' ') {
            first++;
        }
        int last = to[at] - 1;
        while (last > first && bytes[last] != ' ') {
            last--;
        }
        boolean protocol =
                last > first
                        && to[at] - last > 5
                        && bytes[last + 1] == 'H'
                        && bytes[last + 2] == 'T';
        if (which == 0) {
            return text(from[at], first);
        } else if (which == 1) {
            return first >= to[at] ? "" : text(first + 1, protocol ? last : to[at]);
        }
        return protocol ? text(last + 1, to[at]) : "";
    }

    private String text(int begin, int end) {
        if (end - begin == 1 && bytes[begin] == '-') {
            return "";
        }
        boolean plain = true;
        for (int i = begin; i < end && plain; i++) {
            plain = bytes[i] >= 0 && bytes[i] != '\\' && (bytes[i] != '+' || !format.plusIsSpace());
        }
        if (plain) {
            return new String(bytes, begin, end - begin, StandardCharsets.ISO_8859_1);
        }
        byte[] plainly = new byte[end - begin];
        int n = 0;
        for (int i = begin; i < end; i++) {
            byte b = bytes[i];
            if (b == '\\' && i + 1 < end && !format.plusIsSpace()) {
                b = bytes[++i];
                int hex = b == 'x' && i + 2 < end ? hex(bytes[i + 1]) * 16 + hex(bytes[i + 2]) : -1;
                if (hex >= 0) {
                    b = (byte) hex;
                    i += 2;
                } else if (b != '"' && b != '\\') {
                    int escape = "bfnrtv".indexOf(b);
                    if (escape < 0) {
                        plainly[n++] = '\\'; // No escape: as it stands.
                    } else {
                        b = (byte) "\b\f\n\r\t\u000b".charAt(escape);
                    }
                }
            } else if (b == '+' && format.plusIsSpace()) {
                b = ' ';
            }
            plainly[n++] = b;
        }
        return new String(plainly, 0, n, StandardCharsets.UTF_8);
    }

    private static int hex(byte b) {
        int d = Character.digit(b, 16);
        return d < 0 ? -1000 : d;
    }

    @Override
    public boolean markedRetry() {
        return format.retryAt >= 0 && super.markedRetry();
    }

    private long number(String field) {
        return number(format.place(field));
    }

    private long number(int at) {
        if (at < 0 || from[at] == to[at] || to[at] - from[at] > 18) {
            return -1;
        }
        long value = 0;
        for (int i = from[at]; i < to[at]; i++) {
            int d = bytes[i] - '0';
            if (d < 0 || d > 9) {
                return -1;
            }
            value = value * 10 + d;
        }
        return value;
    }

    @Override
    public int status() {
        long status = number(format.statusAt);
        return status < 0 || status > 999 ? 0 : (int) status;
    }

    @Override
    public long durationMicros() {
        int at = format.durationPlace();
        return at < 0 ? -1 : format.micros(text(from[at], to[at]));
    }

    @Override
    public long bytesReceived() {
        return number(Fields.RECEIVED);
    }

    @Override
    public long bytesSent() {
        return number(Fields.SENT);
    }

    /** No name or number holds a space, as it does where two lines run into one another. */
    boolean plausible() {
        for (String f : new String[] {Fields.CLIENT, Fields.USER, Fields.STATUS, Fields.SENT}) {
            int at = format.place(f);
            for (int i = at < 0 ? 0 : from[at]; at >= 0 && i < to[at]; i++) {
                if (bytes[i] == ' ') {
                    return false;
                }
            }
        }
        return true;
    }

    boolean validUtf8() {
        return Utf8.valid(bytes, length);
    }
}

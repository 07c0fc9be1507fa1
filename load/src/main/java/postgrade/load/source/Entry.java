package postgrade.load.source;

import postgrade.script.Values.HostObject;

/**
 * One request as a source tells of it, with what a plan can ask for. The object is used again for
 * the next one.
 *
 * <p>Absent texts are empty, absent numbers -1.
 */
public abstract class Entry implements HostObject {

    /** Unix time, in microseconds, as read; the importer may mend it. */
    public long timeMicros;

    /** How finely the time was written, in microseconds: 1,000,000 for whole seconds. */
    public long resolutionMicros = 1;

    /** The time was written without a zone and fell into an hour that the clocks pass twice. */
    public boolean ambiguous;

    public long line;
    public String file = "";

    /** Made once: the object serves for many entries. */
    private Object header;

    private Object param;
    private Object extra;

    /** A field by its name of {@link Fields}, or null where the source has none. */
    public abstract String field(String name);

    public abstract int status();

    /** How long the answer took; -1 where the source does not tell. */
    public abstract long durationMicros();

    public abstract long bytesReceived();

    public abstract long bytesSent();

    /** The client marks it as a retry. */
    public boolean markedRetry() {
        String mark = field("header:x-retry");
        return mark != null && !mark.isEmpty() && !mark.equals("0") && !mark.equals("-");
    }

    /** The request's target: path and query. */
    public String target() {
        return or(field(Fields.TARGET), "");
    }

    private static String or(String s, String absent) {
        return s == null ? absent : s;
    }

    private String path() {
        String target = target();
        int from = 0;
        int scheme = target.indexOf("://");
        if (scheme > 0 && scheme < 8) { // A whole URL: a HAR's, a proxy's.
            int slash = target.indexOf('/', scheme + 3);
            from = slash < 0 ? target.length() : slash;
        }
        int end = target.indexOf('?', from);
        String path = target.substring(from, end < 0 ? target.length() : end);
        return path.isEmpty() ? "/" : path;
    }

    private String query() {
        String target = target();
        int at = target.indexOf('?');
        return at < 0 ? "" : target.substring(at + 1);
    }

    @Override
    public String typeName() {
        return "entry";
    }

    @Override
    public Object attribute(String name) {
        switch (name) {
            case "path":
                return path();
            case "query":
                return query();
            case "url":
                return target();
            case "method":
                return or(field(Fields.METHOD), "");
            case "status":
                return (long) status();
            case "duration_us":
                return durationMicros();
            case "bytes_received":
                return bytesReceived();
            case "bytes_sent":
                return bytesSent();
            case "client":
                return or(field(Fields.CLIENT), "");
            case "user":
                return or(field(Fields.USER), "");
            case "host":
                return or(field(Fields.HOST), "");
            case "referer":
                return or(field("header:referer"), "");
            case "user_agent":
                return or(field("header:user-agent"), "");
            case "time_us":
                return timeMicros;
            case "line":
                return line;
            case "file":
                return file;
            case "retry":
                return markedRetry();
            case "header":
                return header = header == null ? HEADER.bind(this) : header;
            case "param":
                return param = param == null ? PARAM.bind(this) : param;
            case "extra":
                return extra = extra == null ? EXTRA.bind(this) : extra;
            default:
                return null;
        }
    }

    /**
     * A method of entries that takes one name and gives a text, or the second argument where there
     * is none.
     */
    private record Method(String name, java.util.function.BiFunction<Entry, String, String> body) {
        Object bind(Entry e) {
            return postgrade.script.Script.function(
                    name,
                    "name default?",
                    a -> {
                        if (!(a[0] instanceof String s)) {
                            throw postgrade.script.Script.error(
                                    name + ": the name must be a string");
                        }
                        String v = body.apply(e, s);
                        return v != null ? v : a[1] != null ? a[1] : "";
                    });
        }
    }

    private static final Method HEADER =
            new Method(
                    "header", (e, n) -> e.field("header:" + n.toLowerCase(java.util.Locale.ROOT)));
    private static final Method EXTRA = new Method("extra", Entry::field);
    private static final Method PARAM = new Method("param", (e, n) -> param(e.query(), n));

    /** A parameter of a query, decoded; null where it has none of this name. */
    static String param(String query, String name) {
        int from = 0;
        while (from < query.length()) {
            int end = query.indexOf('&', from);
            end = end < 0 ? query.length() : end;
            if (query.startsWith(name, from)
                    && from + name.length() <= end
                    && (from + name.length() == end || query.charAt(from + name.length()) == '=')) {
                String value = query.substring(Math.min(end, from + name.length() + 1), end);
                try {
                    return value.indexOf('%') < 0 && value.indexOf('+') < 0
                            ? value
                            : java.net.URLDecoder.decode(
                                    value, java.nio.charset.StandardCharsets.UTF_8);
                } catch (IllegalArgumentException e) {
                    return value; // Not encoded as it should be: better as it is than not at all.
                }
            }
            from = end + 1;
        }
        return null;
    }
}

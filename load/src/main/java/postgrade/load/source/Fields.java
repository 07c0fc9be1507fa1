package postgrade.load.source;

/**
 * The names of what entries hold. Headers of the request are {@code header:NAME} and of the answer
 * {@code sent:NAME}, in lower case; what has no name here goes by the name that its format uses.
 */
public final class Fields {

    public static final String REQUEST = "request";
    public static final String METHOD = "method";
    public static final String TARGET = "target";
    public static final String PATH_ONLY = "path-only";
    public static final String QUERY_ONLY = "query-only";
    public static final String PROTOCOL = "protocol";
    public static final String STATUS = "status";
    public static final String CLIENT = "client";
    public static final String USER = "user";
    public static final String HOST = "host";
    public static final String SENT = "bytes-sent";
    public static final String RECEIVED = "bytes-received";

    private Fields() {}
}

package postgrade.load.imports;

/** One job on its way into a trace. */
final class Record {
    /** Unix time, in microseconds. */
    long at;

    /** How finely the time was written, in microseconds. */
    long resolution;

    /** Its place in the order of reading, which decides between equal times. */
    long order;

    String jobClass;
    String tenant;
    String key;
    String retryKey;
    long deadlineMicros;
    int bodyBytes;
    int status;
    long durationMicros;
    boolean markedRetry;
    int source;
    long line;

    static int compare(Record a, Record b) {
        return a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order);
    }
}

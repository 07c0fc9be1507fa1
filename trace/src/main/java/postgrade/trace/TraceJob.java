package postgrade.trace;

/**
 * One job of a trace.
 *
 * @param number from 1, in the order of time
 * @param atMicros when it was asked for, since the trace's start
 * @param tenant or key null where there is none
 * @param deadlineMicros how long the client waits; 0 where it is not known
 * @param status the answer as recorded (of HTTP); 0 where it is not known
 * @param durationMicros how long the answer took; -1 where it is not known
 * @param firstTry the number of the job of which this is a retry; 0 for a first try
 * @param attempt 0 for a first try, 1 for its first retry, and so on
 * @param source the place of its source in the header, from 1; 0 where there is none
 * @param line its line or entry in the source, from 1
 */
public record TraceJob(
        long number,
        long atMicros,
        String jobClass,
        String tenant,
        String key,
        long deadlineMicros,
        int bodyBytes,
        int status,
        long durationMicros,
        long firstTry,
        int attempt,
        int source,
        long line) {

    public boolean isRetry() {
        return firstTry != 0;
    }

    /** The client was refused, failed or gave up: what makes clients try again. */
    public static boolean failed(int status, long durationMicros, long deadlineMicros) {
        return status == 429
                || status == 499
                || status >= 500
                || deadlineMicros > 0 && durationMicros >= deadlineMicros;
    }
}

package postgrade.dispatch;

/**
 * The state of the connection that an attempt was written to, at the time of writing.
 *
 * @param ageMicros the time since it was established
 * @param idleMicros how long it had been idle, 0 for a new one
 * @param earlierExchanges the number of requests that it had carried before
 */
public record ConnectionUse(long ageMicros, long idleMicros, int earlierExchanges) {}

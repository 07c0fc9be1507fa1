package postgrade.dispatch;

/**
 * The connection that an attempt was written on, as it was then.
 *
 * @param ageMicros since it came up
 * @param idleMicros how long it had been idle, 0 for a new one
 * @param earlierExchanges requests that it had carried before
 */
public record ConnectionUse(long ageMicros, long idleMicros, int earlierExchanges) {}

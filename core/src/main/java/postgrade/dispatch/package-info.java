/**
 * The core of the dispatcher between its protocols and its policy: requests in flight, their
 * attempts, the one answer of each, and the batch of events of each turn. {@link
 * postgrade.dispatch.RequestTracker} is the way in.
 *
 * <p>It does no input or output and starts no thread. All of it runs on the loop's thread, on times
 * in microseconds of the loop's clock.
 */
package postgrade.dispatch;

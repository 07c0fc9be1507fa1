/**
 * The core of the dispatcher, between its protocols and its policy: requests in flight, their
 * attempts, the single answer of each request, and the batch of events of each event loop
 * iteration. {@link postgrade.dispatch.RequestTracker} is the entry point.
 *
 * <p>It performs no input or output and starts no thread. All of it runs on the event loop thread,
 * with times in microseconds of the event loop's clock.
 */
package postgrade.dispatch;

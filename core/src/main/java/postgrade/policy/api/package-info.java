/**
 * The interface between a dispatcher and its decision policy: events in ({@link
 * postgrade.policy.api.DispatchPolicy}), decisions out ({@link
 * postgrade.policy.api.PolicyActions}), and the values that both carry.
 *
 * <p>Times are nanoseconds of one monotonic clock. Nothing in this package does I/O.
 */
package postgrade.policy.api;

/**
 * The interface between a dispatcher and its decision policy: events in ({@link
 * postgrade.policy.api.DispatchPolicy}), decisions out ({@link
 * postgrade.policy.api.PolicyActions}), and the values that both carry.
 *
 * <p>Times are nanoseconds of one monotonic clock. Nothing here does input or output.
 */
package postgrade.policy.api;

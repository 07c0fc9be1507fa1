/**
 * The decision policy of a dispatcher: {@link postgrade.policy.TokenBucketDispatchPolicy} and its
 * components.
 *
 * <p>Each component owns its own state; {@link postgrade.policy.PolicyState} assembles them.
 * Nothing in this package does I/O, reads a clock or starts a thread: each event carries its time
 * in nanoseconds, and all code runs on the thread of the caller.
 */
package postgrade.policy;

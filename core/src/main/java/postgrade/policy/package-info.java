/**
 * The decision policy of a dispatcher: {@link postgrade.policy.TokenBucketDispatchPolicy} and the
 * parts that decide for it.
 *
 * <p>Each part owns its own state; {@link postgrade.policy.PolicyState} puts them together. Nothing
 * here does input or output, reads a clock or starts a thread: time comes with each event, in
 * nanoseconds, and all runs on the thread of the caller.
 */
package postgrade.policy;

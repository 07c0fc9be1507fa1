/**
 * Reads a deployment's settings into {@link postgrade.policy.api.PolicySettings}, for the daemon
 * and the simulator's adapter alike.
 */
package postgrade.settings;

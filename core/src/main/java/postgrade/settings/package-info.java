/**
 * Reads a deployment's settings into {@link postgrade.policy.api.PolicySettings}. The daemon and
 * the simulator's adapter both use it.
 */
package postgrade.settings;

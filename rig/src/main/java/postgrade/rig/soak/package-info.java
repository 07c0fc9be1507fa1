/**
 * Soak test: real dispatchers in front of simulated workers under load, with faults in their
 * exchanges and on the processes. All faults are drawn from a seed, and the results are judged from
 * the ledgers alone.
 */
package postgrade.rig.soak;

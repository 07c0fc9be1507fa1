/**
 * The soak: real dispatchers before stand-in workers under load, with faults in their exchanges and
 * on the processes, all drawn from a seed, and judged from the ledgers alone.
 */
package postgrade.rig.soak;

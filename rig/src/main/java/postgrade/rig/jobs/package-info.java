/**
 * Proxies between dispatchers and workers that know where each message ends, and so can put a fault
 * at a chosen place within one exchange.
 */
package postgrade.rig.jobs;

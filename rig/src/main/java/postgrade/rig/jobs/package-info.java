/**
 * Proxies between dispatchers and workers that know the message boundaries and can therefore inject
 * a fault at a given point within an exchange.
 */
package postgrade.rig.jobs;

/**
 * Follows the worker list of discovery. {@link postgrade.discovery.DiscoveryWatch} keeps one
 * connection open, on which discovery pushes objects with changes, and empty lines as heartbeats.
 * All of it runs on the event loop thread; times are microseconds of the event loop's clock.
 */
package postgrade.discovery;

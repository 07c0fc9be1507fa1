/**
 * Follows the list of workers that discovery tells: {@link postgrade.discovery.DiscoveryWatch}
 * keeps one connection open, on which discovery pushes objects with changes and empty lines as
 * heartbeats. All of it runs on the loop's thread; times are microseconds of the loop's clock.
 */
package postgrade.discovery;

/**
 * What is logged and counted of attempts and answers, so that how each came about can be told
 * afterwards. It observes and decides nothing; all of it runs on the loop's thread.
 */
package postgrade.telemetry;

/**
 * Logs and counts attempts and answers, so that the cause of each can be determined afterwards. It
 * only observes; all of it runs on the event loop thread.
 */
package postgrade.telemetry;

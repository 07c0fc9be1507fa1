/**
 * The list of workers in force: discovery's list with the operators' overrides. It does no input or
 * output.
 */
package postgrade.endpoints;

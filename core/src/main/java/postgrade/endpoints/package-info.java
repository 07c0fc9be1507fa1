/**
 * The effective worker list: discovery's list with the operators' overrides applied. It performs no
 * input or output.
 */
package postgrade.endpoints;

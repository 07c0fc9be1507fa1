/** Reads JSON documents from outside the process without recursion. */
package postgrade.json;

/**
 * Self-checking scenarios: each causes a failure that a subsystem is meant to handle and compares the outcome with the
 * expected one. The exit status of a drill tells whether all comparisons passed.
 */
package spartrail.lab.drill;

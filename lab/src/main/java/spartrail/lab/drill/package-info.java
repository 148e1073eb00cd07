/**
 * Self-checking scenarios: each causes the failure that a subsystem was built for and holds what was seen against what
 * was expected. A drill's verdict is its exit status.
 */
package spartrail.lab.drill;

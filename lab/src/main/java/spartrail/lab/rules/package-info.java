/**
 * The six rules, checked from outside: what clients sent and got beside what reached servers and what the roll told. No
 * I/O; times and news come as arguments, verdicts go back. A checker that has not caught planted breaches proves nothing:
 * the drill {@code rules-planted} plants one of each.
 */
package spartrail.lab.rules;

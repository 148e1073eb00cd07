/**
 * Checks the rules of front nodes from outside: compares the requests and responses of clients with the parts that
 * reached servers and with what discovery reported. No I/O; times and events come as arguments, and the results are
 * verdicts. A checker proves nothing until it has detected deliberate violations: the drill {@code rules-planted}
 * commits one of each rule.
 */
package spartrail.lab.rules;

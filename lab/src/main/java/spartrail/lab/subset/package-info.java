/**
 * Simulates fleets of hollow front nodes that use subsets: the production {@code SubsetFilter} of each node, without
 * sockets, all in one process. Measures how evenly nodes share the servers and what a change moves, and checks the
 * guarantees of subsets through losses of servers and through nodes whose endpoint lists differ for a while.
 */
package spartrail.lab.subset;

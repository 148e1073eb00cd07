/**
 * Fleets of hollow front nodes that use subsets: the real {@code SubsetFilter} of each node, without sockets, one after the other
 * in one process. How evenly servers are shared, what a change moves, and whether the promises hold through losses and lists that
 * part.
 */
package spartrail.lab.subset;

/**
 * Selects the replicas of each shard to which this front node connects: a subset of bounded size that depends on the
 * names, weights and zones of the servers and the name of the node.
 *
 * <p>The input is endpoint lists as discovery reports them; the output is lists of the endpoints that this node uses,
 * and a bound of the number of front nodes that share a server. Everything is computed on the caller's thread without
 * I/O, clock or randomness, so the same names and lists give the same subset in every process. A change of one server
 * never iterates over all servers.
 */
package spartrail.subset;

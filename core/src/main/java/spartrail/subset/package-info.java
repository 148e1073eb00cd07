/**
 * Which of each shard's replicas this front node connects to: a bounded subset, chosen by names alone.
 *
 * <p>In come lists of servers, as discovery tells them; out go lists of the node's own servers only, and a count of front nodes
 * that can share a server. All of it is computed on the caller's thread, without I/O, clock or chance: the same names and lists
 * give the same subset in every process. What never happens here: a walk over all servers for a change of one.
 */
package spartrail.subset;

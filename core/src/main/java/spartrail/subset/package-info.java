/**
 * Which of each shard's replicas this front node connects to: a bounded subset, chosen by names alone.
 *
 * <p>Endpoint lists come in, as discovery reports them; lists of the node's own endpoints only go out, and a count of front nodes
 * that can share a server. All of it is computed on the caller's thread, without I/O, clock or randomness: the same names and lists
 * give the same subset in every process. What never happens here: a walk over all servers for a change of one.
 */
package spartrail.subset;

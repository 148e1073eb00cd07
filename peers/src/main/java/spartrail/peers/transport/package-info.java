/**
 * Messages among front nodes over datagrams: files, frames, a socket, a thread of its own. Which message goes to whom and what
 * is held of whom is decided in {@code spartrail.peers}. In: the peers' file, datagrams, requests of operators. Out:
 * datagrams, views for the node, a history. Never here: a verdict on a node, work on the node's own threads, memory or time
 * that grows with what strangers send.
 */
package spartrail.peers.transport;

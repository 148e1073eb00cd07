/**
 * Transport of gossip messages between front nodes over UDP: the peers file, the frame format, the socket and the
 * gossip thread. Inputs are the peers file, datagrams and requests of operators; outputs are datagrams, views for the
 * node and the history file. Which messages are sent, and the state of each peer, is decided in {@code
 * spartrail.peers}: this package judges no node, does no work on the node's other threads, and uses no memory or time
 * that grows with the messages of unknown senders.
 */
package spartrail.peers.transport;

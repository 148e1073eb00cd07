/**
 * Membership of the front nodes by the SWIM gossip protocol. Inputs are messages from other nodes, the time and random
 * numbers; outputs are messages to send, a view of all nodes, and its changes. The package does no I/O, reads no clock
 * and starts no threads: a single thread owns a {@link spartrail.peers.SwimMembership}, in a node as well as on a
 * simulated network. Index servers are handled in {@code spartrail.endpoint}.
 */
package spartrail.peers;

/**
 * Which front nodes are present, by the SWIM protocol. In: messages of other nodes, time, random numbers. Out: messages to
 * send, a view of all nodes, changes of it. No I/O, no clock, no threads: one thread owns a {@link
 * spartrail.peers.SwimMembership}, in a node and on a simulated network alike. Index servers belong to {@code
 * spartrail.endpoint}.
 */
package spartrail.peers;

/**
 * Front nodes among themselves: who is there. Messages that were heard, time and chance come in, messages to send and a
 * view of all nodes go out. No I/O, no clock, no threads: one thread owns it, in a node and on a virtual network alike.
 * Servers are {@code spartrail.endpoint}'s.
 */
package spartrail.peers;

/**
 * An event loop with one selector for all sockets of a lab component. Its timers run on time to a fraction of a
 * millisecond; XNIO waits in whole milliseconds, which is too coarse since the load generator's own lag is measured in
 * microseconds. Socket events are callbacks on the loop's thread. The package contains no application logic and does
 * not block.
 */
package spartrail.lab.net;

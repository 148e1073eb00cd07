/**
 * One event loop with one selector for all sockets of a lab component, and timers that run on time to a fraction of a millisecond.
 * Socket events come in as callbacks on the loop's thread, bytes go out; nothing here decides or blocks. XNIO waits in whole
 * milliseconds, which is too coarse where the load generator's own lag is measured in microseconds.
 */
package spartrail.lab.net;

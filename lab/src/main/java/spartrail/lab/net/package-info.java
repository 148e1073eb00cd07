/**
 * One thread with one selector for all sockets of a lab party, and timers that are met to a fraction of a millisecond.
 * In come callbacks on that thread, out go bytes; it decides nothing and never blocks. XNIO waits in whole
 * milliseconds, which is too coarse where the generator's own lag is to be measured in microseconds.
 */
package spartrail.lab.net;

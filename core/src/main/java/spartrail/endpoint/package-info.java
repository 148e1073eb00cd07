/**
 * One view of the servers from sources that disagree. Sources hand in what they say and when; out come the lines that the
 * module is to know, and why. No I/O, no clock, no threads: one thread owns it.
 */
package spartrail.endpoint;

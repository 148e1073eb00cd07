/**
 * Scale tests: each measures one figure of real {@code core} objects at four sizes or more and fits its slope. Processor time is
 * taken by JMH, memory by JOL. Nothing here opens a socket.
 */
package spartrail.lab.scale;

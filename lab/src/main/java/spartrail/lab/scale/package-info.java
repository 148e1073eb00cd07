/**
 * Scale tests: each measures one figure of real {@code core} objects at four sizes or more and fits a curve to it. JMH
 * measures processor time, JOL measures memory. Nothing here opens a socket.
 */
package spartrail.lab.scale;

/**
 * Recorded traces of multigets: read from CSV, JSON lines or a front node's own record into one compact file, and played
 * back. What is odd about a trace has a stated rule, and is counted; memory does not grow with its length.
 */
package spartrail.lab.trace;

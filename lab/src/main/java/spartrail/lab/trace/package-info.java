/**
 * Recorded traces of multigets: imported from CSV, JSON lines or a front node's record into one compact file, and replayed. Each
 * irregularity of a trace has a stated rule and is counted; memory does not grow with the length of the trace.
 */
package spartrail.lab.trace;

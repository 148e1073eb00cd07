/**
 * Recorded traces of multigets: they are imported from CSV, JSON lines or a front node's record into one compact file,
 * and replayed. A stated rule handles each kind of irregularity in a trace and counts it; memory does not grow with the
 * length of the trace.
 */
package spartrail.lab.trace;

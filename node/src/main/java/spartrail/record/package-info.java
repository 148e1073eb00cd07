/**
 * A record of the multigets that a node receives, for a later replay. Off by default; its classes are loaded only if it
 * is enabled.
 *
 * <p>In: decoded queries on the coordinator's thread. Out: lines of a file, written by the record's own thread.
 * Recording never blocks the coordinator's thread, and the file never exceeds its size limit.
 */
package spartrail.record;

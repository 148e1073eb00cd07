/**
 * A record of the multigets that a node takes, for replaying them elsewhere. Off unless asked for; nothing of it is loaded then.
 *
 * <p>In: decoded queries on the coordinator's thread. Out: lines of a file, written by a thread of its own. It never makes anybody wait
 * and never grows past its bound.
 */
package spartrail.record;

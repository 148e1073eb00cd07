/**
 * A record of the multigets that a node takes, for replaying them elsewhere. Off unless asked for; nothing of it is
 * loaded then. In come decoded requests on the I/O thread, out go lines on a thread of its own; it never makes anybody
 * wait and never grows past its bound.
 */
package spartrail.record;

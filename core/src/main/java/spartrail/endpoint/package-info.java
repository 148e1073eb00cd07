/**
 * One view of the endpoints from sources that disagree. Reports of sources come in with the time of their arrival; out come the
 * endpoints that have changed as the coordinator is to know them, and the rule that decided. No I/O, no clock, no threads: one
 * thread owns a registry.
 */
package spartrail.endpoint;

/**
 * Merges reports on endpoints from several sources, which may disagree. The input is the reports with the time of their
 * arrival; the output is the changed endpoints in the form that the coordinator receives, with the rule that decided
 * each status. The package does no I/O, has no clock and starts no threads: one thread owns a registry.
 */
package spartrail.endpoint;

package spartrail.record;

import spartrail.client.ClientQuery;

/**
 * A received multiget.
 *
 * @param atMs the time of its arrival on the node's clock (Unix milliseconds)
 * @param decidedNs the machine's monotonic clock at the iteration that decided it
 * @param version the version of the settings that decided it; empty if there is none
 */
record RecordEntry(double atMs, long decidedNs, String version, ClientQuery query) {}

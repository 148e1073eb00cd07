package spartrail.record;

import spartrail.client.ClientQuery;

/**
 * A multiget that was taken.
 *
 * @param atMs when it came, on the node's clock (Unix milliseconds)
 * @param decidedNs the machine's monotonic clock at the iteration that decided it
 * @param version the policy version that decided it; empty where there are none
 */
record RecordEntry(double atMs, long decidedNs, String version, ClientQuery query) {}

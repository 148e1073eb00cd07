package spartrail.endpoint;

/**
 * The report of one source on one endpoint, as stored in a snapshot.
 *
 * @param id the name under which the registry knows the endpoint
 * @param isRemoved whether the endpoint was missing from complete answers of the source and the absence counts as its
 *        removal
 * @param seenMs when the endpoint was first seen
 */
public record SnapshotEntry(
        String source,
        EndpointSource.Kind kind,
        String id,
        String address,
        SourceReport report,
        boolean isRemoved,
        double seenMs) {}

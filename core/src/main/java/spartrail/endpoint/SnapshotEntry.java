package spartrail.endpoint;

/**
 * What a snapshot keeps of one source's report on one endpoint.
 *
 * @param id the registry's name of the endpoint
 * @param isRemoved whether the source has left it out and the absence counts
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

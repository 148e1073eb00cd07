/**
 * Endpoints from sources in addition to the discovery agent. The package is loaded only if a file of sources is given
 * ({@code --members}). One thread of this package owns the registry; the discovery client and the other sources report
 * to it, and the event loop receives the changed entries. The package makes no decisions; the merging is done by
 * {@code spartrail.endpoint.EndpointRegistry}.
 */
package spartrail.endpoint.sources;

/**
 * Endpoints from more sources than the discovery agent. Nothing of it is loaded unless a file of sources is given ({@code --members}).
 * The registry is owned by one thread of this package; the discovery watch and the other sources report to it, and the event loop
 * receives the lines that changed. No decision is made here: merging is {@code spartrail.endpoint.EndpointRegistry}'s.
 */
package spartrail.endpoint.sources;

/**
 * Clients' connections: HTTP/1.1 requests in, one final response each out.
 *
 * <p>In: connections and bytes of clients, and responses from the coordinator's loop, as tasks. Out: decoded queries and departures of
 * clients, to a {@link spartrail.client.ClientQueryListener}. This package alone knows the names that clients' protocol uses.
 *
 * <p>Thread: the one I/O thread, but for {@link spartrail.client.ClientListener}'s constructor. Nothing here waits, decides whether a
 * query is served, or knows of servers.
 */
package spartrail.client;

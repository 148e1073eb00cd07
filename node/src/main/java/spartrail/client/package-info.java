/**
 * Clients' connections, which carry HTTP/1.1 requests in and one final response for each out.
 *
 * <p>In: connections and bytes of clients, and responses from the coordinator's loop, as tasks. Out: decoded queries
 * and disconnects of clients, to a {@link spartrail.client.ClientQueryListener}. Only this package knows the names that
 * the clients' protocol uses.
 *
 * <p>Thread: the one I/O thread, except for {@link spartrail.client.ClientListener}'s constructor. No code here blocks,
 * or refers to servers; {@link spartrail.intake.RequestIntake} decides which requests are received and kept.
 */
package spartrail.client;

/**
 * Decides which requests of clients are received and kept, before their queries reach the coordinator: by the memory
 * that they take and the time that their clients still wait.
 *
 * <p>In: sizes of what was read, and times. Out: whether to receive, keep or reject. No sockets, clocks or threads; the
 * owner of the clients' connections calls this package on its thread.
 */
package spartrail.intake;

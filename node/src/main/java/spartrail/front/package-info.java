/**
 * The front node as a library ({@link spartrail.front.FrontNode}) and the event loop that owns the coordinator
 * ({@link spartrail.front.CoordinatorLoop}).
 *
 * <p>In: queries from {@code client}, outcomes of attempts from {@code shard}, endpoint updates from {@code discovery}
 * and {@code endpoint.sources}, views of the fleet and policies from {@code peers} and {@code policy}; each becomes an
 * event in the loop's queue. Out: one task per iteration for the I/O thread, with batches, cancellations and responses.
 *
 * <p>Threads: {@code FrontNode}'s methods run on the embedding program's threads, {@code CoordinatorLoop} and the
 * objects that it owns on {@code spartrail-coordinator}, sockets on {@code spartrail-io}. No code here blocks the I/O
 * thread or chooses a server for a part, and the coordinator's thread never touches a socket.
 */
package spartrail.front;

/**
 * Connections to index servers: batches of parts out, a response or another end for each part in.
 *
 * <p>In: batches, withdrawals and retired addresses from the coordinator's loop, as tasks; frames of servers. Out: how each attempt ended,
 * exactly once, to a {@link spartrail.shard.AttemptListener}. This package alone knows the frames' form.
 *
 * <p>Thread: the one I/O thread. Nothing here waits or decides where a part goes and how long it may take; what is checked here, where the
 * bytes leave, is whether a decision still holds (deadline, client, endpoint updates).
 */
package spartrail.shard;

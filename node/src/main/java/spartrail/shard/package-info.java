/**
 * Connections to index servers, which carry batches of parts out and responses in.
 *
 * <p>In: batches, withdrawals and retired addresses from the coordinator's loop, as tasks; frames of servers. Out: the
 * outcome of each attempt, exactly once, to a {@link spartrail.shard.AttemptListener}. Only this package knows the
 * format of the frames.
 *
 * <p>Thread: the one I/O thread. No code here blocks, or decides where a part goes and how long it may take. Before a
 * frame is written, this package checks whether the decision is still valid (deadline, client, endpoint updates).
 */
package spartrail.shard;

/**
 * Runs policy versions at a node: the thread that owns all state, the messages, the log on disk and the Raft library.
 * It receives datagrams and operators' requests, and gives out leases and datagrams. All decisions about versions are
 * made in {@code spartrail.policy}. Nothing of this package is loaded without {@code --state}.
 */
package spartrail.policy.replication;

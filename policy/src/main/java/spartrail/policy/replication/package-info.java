/**
 * Versions of policy as a node takes part in them: the thread that owns all state, the messages, the log on disk and the Raft
 * library. Datagrams and operators' requests come in, leases and datagrams go out. What is decided about versions is decided in
 * {@code spartrail.policy}; nothing here is loaded without {@code --state}.
 */
package spartrail.policy.replication;

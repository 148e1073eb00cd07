/**
 * Policy versions: the settings that may change while front nodes run, the version that is active, and the leases under
 * which nodes apply it. The classes take messages and the time as arguments and return plain values; they use no I/O,
 * clock or threads. {@link spartrail.policy.PolicyLog} is the replicated state machine, {@link
 * spartrail.policy.PolicyLeader} the part of the leader of the voters, {@link spartrail.policy.PolicyFollower} the part
 * of every node.
 */
package spartrail.policy;

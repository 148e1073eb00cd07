/**
 * Versions of policy: what may change while front nodes run, which version is active, and until when a node may go by it.
 * Messages and the time come in, plain values go out; no I/O, no clock, no threads. {@link spartrail.policy.PolicyLog} is the
 * replicated state, {@link spartrail.policy.PolicyLeader} what the leader of the voters does about it, {@link
 * spartrail.policy.PolicyFollower} what every node does.
 */
package spartrail.policy;

/**
 * Versions of policy: what may change while front nodes run, which version holds, and until when a node may go by it. What was
 * heard and the time come in, plain values go out; no I/O, no clock, no threads. {@link spartrail.policy.PolicyLog} is the state
 * that the deciding nodes agree on, {@link spartrail.policy.PolicyLeader} what the leading one of them does about it,
 * {@link spartrail.policy.PolicyFollower} what every node does.
 */
package spartrail.policy;

package spartrail.policy.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.peers.PeerChannel.Context;
import spartrail.policy.PolicyLease;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyVersion;

/** Writes policy events to a node's history, which drills read. The names of events and fields must not change. */
final class PolicyHistory {
    private final Context channel;

    PolicyHistory(Context channel) {
        this.channel = channel;
    }

    /** This node has started as a voter. */
    void recordVoterStart() {
        record("decider", Map.of("on", true));
    }

    /** This node is configured as a voter but could not start as one. */
    void recordVoterFailure(String reason) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("on", false);
        fields.put("why", reason);
        record("decider", fields);
    }

    /** This node has become the leader, or has lost the leadership. */
    void recordLeadership(boolean isLeader) {
        record("leads", Map.of("on", isLeader));
    }

    /** This node applies another lease, or none if null. */
    void recordLease(PolicyLease lease) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("by", lease == null ? "" : lease.label());
        fields.put("guarded", lease != null && lease.isJoint());
        record("policy", fields);
    }

    /** This node has received a response whose versions differ from those before. */
    void recordResponse(PolicyResponse response) {
        record("told", versionFields(response.active(), response.pending()));
    }

    /** This node has voted on a proposal; an empty objection is a yes. */
    void recordVote(long number, String objection) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("number", number);
        fields.put("no", objection);
        record("vote", fields);
    }

    /** The active or the pending version in this voter's log has changed. */
    void recordLogChange(PolicyLog log, boolean isLeader) {
        Map<String, Object> fields = versionFields(log.active(), log.pending());
        fields.put("leading", isLeader);
        fields.put("last", describeLast(log.finished()));
        record("log", fields);
    }

    private static Map<String, Object> versionFields(PolicyVersion active, PolicyVersion pending) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("holds", active.number());
        fields.put("open", pending == null ? 0 : pending.number());
        fields.put("stage", pending == null ? "" : pending.stage().name());
        return fields;
    }

    private static String describeLast(List<PolicyVersion> finished) {
        if (finished.isEmpty()) {
            return "";
        }
        PolicyVersion last = finished.get(finished.size() - 1);
        return last.number() + " " + last.stage().name() + " " + last.reason();
    }

    private void record(String event, Map<String, Object> fields) {
        channel.recordEvent(event, fields);
    }
}

package spartrail.policy.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.peers.PeerChannel.Context;
import spartrail.policy.PolicyLease;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyVersion;

/** The lines about policy in a node's history, which drills read. Their words are those of the first version of the form. */
final class PolicyHistory {
    private final Context channel;

    PolicyHistory(Context channel) {
        this.channel = channel;
    }

    /** This node votes on the log. */
    void voterStarted() {
        note("decider", Map.of("on", true));
    }

    /** This node was to vote on the log and cannot. */
    void voterFailed(String reason) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("on", false);
        fields.put("why", reason);
        note("decider", fields);
    }

    /** This node begins to lead, or does so no longer. */
    void leadershipChanged(boolean isLeader) {
        note("leads", Map.of("on", isLeader));
    }

    /** This node goes by another lease, or by none. */
    void leaseChanged(PolicyLease lease) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("by", lease == null ? "" : lease.label());
        fields.put("guarded", lease != null && lease.isJoint());
        note("policy", fields);
    }

    /** This node has learned of other versions. */
    void responseChanged(PolicyResponse response) {
        note("told", versions(response.active(), response.pending()));
    }

    /** This node has made up its mind on a proposal; an empty objection is a yes. */
    void voted(long number, String objection) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("number", number);
        fields.put("no", objection);
        note("vote", fields);
    }

    /** The log that this node votes on has changed. */
    void logChanged(PolicyLog log, boolean isLeader) {
        Map<String, Object> fields = versions(log.active(), log.pending());
        fields.put("leading", isLeader);
        fields.put("last", lastFinished(log.finished()));
        note("log", fields);
    }

    private static Map<String, Object> versions(PolicyVersion active, PolicyVersion pending) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("holds", active.number());
        fields.put("open", pending == null ? 0 : pending.number());
        fields.put("stage", pending == null ? "" : pending.stage().name());
        return fields;
    }

    private static String lastFinished(List<PolicyVersion> finished) {
        if (finished.isEmpty()) {
            return "";
        }
        PolicyVersion last = finished.get(finished.size() - 1);
        return last.number() + " " + last.stage().name() + " " + last.reason();
    }

    private void note(String event, Map<String, Object> fields) {
        channel.recordEvent(event, fields);
    }
}

package spartrail.policy.replication;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyLease;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyResponse;

/** What a running node tells its operators about policy: by what it goes, what it knows, and, where it decides, the log. */
final class PolicyStatusPage {
    /** A page is one message; the latest so many proposals are in it. */
    private static final int MOST_ENTRIES = 50;

    private PolicyStatusPage() {}

    static String of(
            String node,
            PolicyLease given,
            PolicyFollower follower,
            RaftReplica deciding,
            String leader,
            double nowMs) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("node", node);
            PolicyLease now = given == null ? null : given.activeAt(nowMs);
            out.writeStringField("by", now == null ? "" : now.label());
            out.writeBooleanField("guarded", now != null && now.isJoint());
            out.writeNumberField(
                    "forMs",
                    now == null || Double.isInfinite(now.expiresAtMs()) ? -1 : Math.round(now.expiresAtMs() - nowMs));
            out.writeStringField("unfit", follower.incompatibility());
            out.writeStringField("terms", now == null ? "{}" : now.settings().toJson());
            out.writeBooleanField("decides", deciding != null);
            out.writeBooleanField("leads", deciding != null && deciding.isLeader());
            out.writeStringField("leader", leader);
            PolicyResponse last = follower.lastResponse();
            if (last != null) {
                entry(out, "holds", last.active());
                if (last.pending() != null) {
                    entry(out, "open", last.pending());
                }
            }
            out.writeArrayFieldStart("entries");
            if (deciding != null) {
                var entries = deciding.log().finished();
                for (PolicyLog.Entry entry :
                        entries.subList(Math.max(0, entries.size() - MOST_ENTRIES), entries.size())) {
                    entry(out, null, entry);
                }
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("text in memory", e);
        }
        return text.toString();
    }

    private static void entry(JsonGenerator out, String name, PolicyLog.Entry entry) throws IOException {
        if (name != null) {
            out.writeFieldName(name);
        }
        out.writeStartObject();
        out.writeNumberField("number", entry.number());
        out.writeStringField("stage", entry.stage().name());
        out.writeStringField("by", entry.proposer());
        out.writeStringField("why", entry.reason());
        out.writeStringField("settings", entry.settings());
        out.writeEndObject();
    }
}

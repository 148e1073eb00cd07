package spartrail.policy.replication;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyLease;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyVersion;

/**
 * The status of a running node for operators, as JSON: its lease, the versions that it knows, and, if it is a voter,
 * the log. The names of fields are part of the command line's output.
 */
final class PolicyStatusPage {
    /** Bounds the page, which has to fit into one message. */
    private static final int MAX_ENTRIES = 50;

    private PolicyStatusPage() {}

    /** The page of a node; {@code replica} is null if the node is no voter. */
    static String render(
            String node,
            PolicyLease appliedLease,
            PolicyFollower follower,
            RaftReplica replica,
            String leaderAddress,
            double nowMs) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            PolicyLease lease = appliedLease == null ? null : appliedLease.activeAt(nowMs);
            out.writeStartObject();
            out.writeStringField("node", node);
            out.writeStringField("by", lease == null ? "" : lease.label());
            out.writeBooleanField("guarded", lease != null && lease.isJoint());
            out.writeNumberField("forMs", remainingMs(lease, nowMs));
            out.writeStringField("unfit", follower.incompatibility());
            out.writeStringField(
                    "terms", lease == null ? "{}" : lease.settings().toJson());
            out.writeBooleanField("decides", replica != null);
            out.writeBooleanField("leads", replica != null && replica.isLeader());
            out.writeStringField("leader", leaderAddress);
            writeKnownVersions(out, follower.lastResponse());
            out.writeArrayFieldStart("entries");
            for (PolicyVersion version : findLatestFinished(replica)) {
                writeVersion(out, version);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return text.toString();
    }

    /** The time until the lease expires; -1 if there is no lease or it does not expire. */
    private static long remainingMs(PolicyLease lease, double nowMs) {
        if (lease == null || Double.isInfinite(lease.expiresAtMs())) {
            return -1;
        }
        return Math.round(lease.expiresAtMs() - nowMs);
    }

    private static void writeKnownVersions(JsonGenerator out, PolicyResponse known) throws IOException {
        if (known == null) {
            return;
        }
        out.writeFieldName("holds");
        writeVersion(out, known.active());
        if (known.pending() != null) {
            out.writeFieldName("open");
            writeVersion(out, known.pending());
        }
    }

    private static List<PolicyVersion> findLatestFinished(RaftReplica replica) {
        if (replica == null) {
            return List.of();
        }
        List<PolicyVersion> finished = replica.log().finished();
        return finished.subList(Math.max(0, finished.size() - MAX_ENTRIES), finished.size());
    }

    private static void writeVersion(JsonGenerator out, PolicyVersion version) throws IOException {
        out.writeStartObject();
        out.writeNumberField("number", version.number());
        out.writeStringField("stage", version.stage().name());
        out.writeStringField("by", version.proposer());
        out.writeStringField("why", version.reason());
        out.writeStringField("settings", version.settings());
        out.writeEndObject();
    }
}

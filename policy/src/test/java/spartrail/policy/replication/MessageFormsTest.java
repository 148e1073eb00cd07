package spartrail.policy.replication;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spartrail.model.MalformedMessageException;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyLogSnapshot;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyVersion;

/** Guards the bytes of policy messages against changes: nodes of two versions have to understand each other. */
class MessageFormsTest {
    private static final long LARGE = 0x1234_5678_9abc_def0L;
    private static final PolicyVersion ACTIVE =
            new PolicyVersion(7, "{\"/sends/most\":3.0}", "ana", PolicyVersion.Stage.HOLDS, "", "t7");

    private static PolicyVersion versionAt(PolicyVersion.Stage stage) {
        return new PolicyVersion(LARGE, "{}", "bo", stage, "why é", "t8");
    }

    private static PolicyMessage pollResponse(PolicyVersion pending) {
        return new PolicyMessage.PollResponse(new PolicyResponse(-LARGE, 300, ACTIVE, pending));
    }

    private static PolicyMessage adminCommand(LogOperation.Kind kind, long number, String text) {
        return new PolicyMessage.AdminCommand(new LogOperation(kind, number, text, "ana", "token"));
    }

    private static Map<String, PolicyMessage> policyMessages() {
        Map<String, PolicyMessage> messages = new LinkedHashMap<>();
        messages.put("ASK", new PolicyMessage.Poll(new PolicyRequest(LARGE, "n1", 8, "", "7|8?")));
        messages.put(
                "ASK with a refusal",
                new PolicyMessage.Poll(new PolicyRequest(-1, "n1", 70_000, "/sends/most: too few", "")));
        messages.put("TOLD", pollResponse(null));
        for (PolicyVersion.Stage stage : PolicyVersion.Stage.values()) {
            messages.put("TOLD " + stage.ordinal(), pollResponse(versionAt(stage)));
        }
        messages.put("ELSEWHERE", new PolicyMessage.Redirect(LARGE, "n2"));
        messages.put("ELSEWHERE unknown", new PolicyMessage.Redirect(1, ""));
        messages.put("NEWS", new PolicyMessage.UpdateNotice());
        messages.put("LOG", new PolicyMessage.Raft(raftMessages().get("VOTE")));
        messages.put("ORDER to propose", adminCommand(LogOperation.Kind.PROPOSE, 0, "{\"/sends/most\":3.0}"));
        messages.put("ORDER to abort", adminCommand(LogOperation.Kind.ABORT, 8, ""));
        messages.put("DONE", new PolicyMessage.AdminResult("token", "8", "127.0.0.1:7000"));
        messages.put("QUESTION", new PolicyMessage.AdminQuery("token", AdminRequestHandler.SHOW_QUERY));
        messages.put(
                "QUESTION to check",
                new PolicyMessage.AdminQuery("token", AdminRequestHandler.CHECK_QUERY_PREFIX + "{}"));
        messages.put("REPLY", new PolicyMessage.AdminReply("token", "!busy"));
        return messages;
    }

    @Test
    void policyMessagesAreWrittenInTheirStoredForm() throws IOException {
        Map<String, byte[]> actual = new LinkedHashMap<>();
        policyMessages().forEach((name, message) -> actual.put(name, PolicyMessageCodec.encode(message)));
        assertStoredForms("policy-messages.txt", actual);
    }

    @Test
    void storedPolicyMessagesAreReadAndWrittenUnchanged() throws IOException, MalformedMessageException {
        for (Map.Entry<String, String> form :
                StoredForms.read("policy-messages.txt").entrySet()) {
            PolicyMessage message = PolicyMessageCodec.decode(StoredForms.fromHex(form.getValue()));
            assertThat(StoredForms.toHex(PolicyMessageCodec.encode(message)))
                    .as(form.getKey())
                    .isEqualTo(form.getValue());
        }
    }

    private static Map<String, RaftMessage> raftMessages() {
        RaftEndpoint sender = new Voter("n1");
        Map<String, RaftMessage> messages = new LinkedHashMap<>();
        messages.put(
                "ENTRIES",
                LogEntryCodec.MODEL
                        .createAppendEntriesRequestBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setPreviousLogTerm(2)
                        .setPreviousLogIndex(LARGE)
                        .setCommitIndex(300)
                        .setLogEntries(entriesOfEachKind())
                        .setQuerySequenceNumber(4)
                        .setFlowControlSequenceNumber(5)
                        .build());
        messages.put(
                "ENTRIES TAKEN",
                LogEntryCodec.MODEL
                        .createAppendEntriesSuccessResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setLastLogIndex(300)
                        .setQuerySequenceNumber(4)
                        .setFlowControlSequenceNumber(5)
                        .build());
        messages.put(
                "ENTRIES REFUSED",
                LogEntryCodec.MODEL
                        .createAppendEntriesFailureResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setExpectedNextIndex(300)
                        .setQuerySequenceNumber(4)
                        .setFlowControlSequenceNumber(5)
                        .build());
        messages.put("SNAPSHOT", installSnapshotRequest(newChunk(300, 0)));
        messages.put("SNAPSHOT without a chunk", installSnapshotRequest(null));
        messages.put(
                "SNAPSHOT TAKEN",
                LogEntryCodec.MODEL
                        .createInstallSnapshotResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setSnapshotIndex(300)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(4)
                        .setFlowControlSequenceNumber(5)
                        .build());
        putElectionMessages(messages, sender);
        return messages;
    }

    private static void putElectionMessages(Map<String, RaftMessage> messages, RaftEndpoint sender) {
        messages.put(
                "PRE-VOTE ASKED",
                LogEntryCodec.MODEL
                        .createPreVoteRequestBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(300)
                        .build());
        messages.put(
                "PRE-VOTE",
                LogEntryCodec.MODEL
                        .createPreVoteResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setGranted(true)
                        .build());
        messages.put(
                "VOTE ASKED",
                LogEntryCodec.MODEL
                        .createVoteRequestBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(300)
                        .setSticky(true)
                        .build());
        messages.put(
                "VOTE",
                LogEntryCodec.MODEL
                        .createVoteResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setGranted(false)
                        .build());
        messages.put(
                "LEAD",
                LogEntryCodec.MODEL
                        .createTriggerLeaderElectionRequestBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(300)
                        .build());
    }

    private static RaftMessage installSnapshotRequest(SnapshotChunk chunk) {
        return LogEntryCodec.MODEL
                .createInstallSnapshotRequestBuilder()
                .setGroupId("recife")
                .setSender(new Voter("n1"))
                .setTerm(3)
                .setSenderLeader(true)
                .setSnapshotTerm(2)
                .setSnapshotIndex(300)
                .setTotalSnapshotChunkCount(1)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(Voter.endpointsOf(List.of("n0", "n1")))
                .setGroupMembersView(newMembers())
                .setQuerySequenceNumber(4)
                .setFlowControlSequenceNumber(5)
                .build();
    }

    static RaftGroupMembersView newMembers() {
        return LogEntryCodec.MODEL
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(9)
                .setMembers(Voter.endpointsOf(List.of("n0", "n1", "n2")))
                .setVotingMembers(Voter.endpointsOf(List.of("n0", "n1")))
                .build();
    }

    /** A snapshot of a log with a finished proposal of each outcome and a decided one. */
    private static PolicyLogSnapshot logSnapshot() {
        PolicyLog log = new PolicyLog();
        log.apply(1, LogOperation.NEW_TERM_OPERATION);
        log.apply(2, new LogOperation(LogOperation.Kind.PROPOSE, 0, "{\"sends\":{\"most\":3}}", "ana", "t1"));
        log.apply(3, new LogOperation(LogOperation.Kind.DECIDE, 1, "", "", ""));
        log.apply(4, new LogOperation(LogOperation.Kind.HOLD, 1, "", "", ""));
        log.apply(5, new LogOperation(LogOperation.Kind.PROPOSE, 0, "{}", "bo", "t2"));
        log.apply(6, new LogOperation(LogOperation.Kind.REFUSE, 2, "no", "n2", ""));
        log.apply(7, new LogOperation(LogOperation.Kind.PROPOSE, 0, "{}", "bo", "t3"));
        log.apply(8, new LogOperation(LogOperation.Kind.ABORT, 3, "", "ana", ""));
        log.apply(9, new LogOperation(LogOperation.Kind.PROPOSE, 0, "{}", "bo", "t4"));
        log.apply(10, new LogOperation(LogOperation.Kind.DECIDE, 4, "", "", ""));
        return log.toSnapshot();
    }

    static SnapshotChunk newChunk(long index, int position) {
        return LogEntryCodec.MODEL
                .createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(logSnapshot())
                .setSnapshotChunkIndex(position)
                .setSnapshotChunkCount(1)
                .setGroupMembersView(newMembers())
                .build();
    }

    static LogEntry newEntry(long index, Object operation) {
        return LogEntryCodec.MODEL
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(operation)
                .build();
    }

    /** An entry of each kind. */
    static List<LogEntry> entriesOfEachKind() {
        List<LogEntry> entries = new ArrayList<>();
        long index = 300;
        for (LogOperation.Kind kind : LogOperation.Kind.values()) {
            entries.add(newEntry(++index, new LogOperation(kind, LARGE, "text", "ana", "token")));
        }
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            entries.add(newEntry(
                    ++index,
                    LogEntryCodec.MODEL
                            .createUpdateRaftGroupMembersOpBuilder()
                            .setMembers(Voter.endpointsOf(List.of("n0", "n1", "n2")))
                            .setVotingMembers(Voter.endpointsOf(List.of("n0", "n1")))
                            .setEndpoint(new Voter("n2"))
                            .setMode(mode)
                            .build()));
        }
        return entries;
    }

    @Test
    void raftMessagesAndLogEntriesAreWrittenInTheirStoredForm() throws IOException {
        Map<String, byte[]> actual = new LinkedHashMap<>();
        raftMessages().forEach((name, message) -> actual.put(name, encode(message)));
        for (LogEntry entry : entriesOfEachKind()) {
            actual.put("entry " + entry.getIndex(), encode(entry));
        }
        assertStoredForms("raft-messages.txt", actual);
    }

    private static byte[] encode(RaftMessage message) {
        return CborArrayWriter.encode(out -> RaftMessageEncoder.write(out, message));
    }

    private static byte[] encode(LogEntry entry) {
        return CborArrayWriter.encode(out -> LogEntryCodec.writeEntry(out, entry));
    }

    @Test
    void storedRaftMessagesAndLogEntriesAreReadAndWrittenUnchanged() throws IOException, MalformedMessageException {
        for (Map.Entry<String, String> form :
                StoredForms.read("raft-messages.txt").entrySet()) {
            CborArrayReader in = CborArrayReader.of(StoredForms.fromHex(form.getValue()));
            byte[] encoded = form.getKey().startsWith("entry")
                    ? encode(LogEntryCodec.readEntry(in))
                    : encode(RaftMessageDecoder.read(in));
            assertThat(StoredForms.toHex(encoded)).as(form.getKey()).isEqualTo(form.getValue());
        }
    }

    @Test
    void piecesAreWrittenInTheirStoredFormAndReassembled() throws IOException {
        Map<String, String> stored = StoredForms.read("pieces.txt");
        Map<String, String> actual = new LinkedHashMap<>();
        byte[] message = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11};
        int position = 0;
        for (byte[] piece : new DatagramSplitter(13, 0x01020304).split(message)) {
            actual.put("piece " + position++, StoredForms.toHex(piece));
        }
        StoredForms.writeActual("pieces.txt", actual);
        assertThat(actual).isEqualTo(stored);

        DatagramReassembler receiver = new DatagramReassembler();
        byte[] complete = null;
        for (String piece : stored.values()) {
            complete = receiver.add("sender", StoredForms.fromHex(piece));
        }
        assertThat(complete).isEqualTo(message);
    }

    @Test
    void crashPointsHaveTheirStoredNames() throws IOException {
        Map<String, String> actual = new LinkedHashMap<>();
        for (String point : CrashPoint.allNames()) {
            actual.put(String.valueOf(actual.size()), point);
        }
        StoredForms.writeActual("crash-points.txt", actual);
        assertThat(actual).isEqualTo(StoredForms.read("crash-points.txt"));
    }

    private static void assertStoredForms(String resource, Map<String, byte[]> forms) throws IOException {
        Map<String, String> actual = new LinkedHashMap<>();
        forms.forEach((name, bytes) -> actual.put(name, StoredForms.toHex(bytes)));
        StoredForms.writeActual(resource, actual);
        assertThat(actual).isEqualTo(StoredForms.read(resource));
    }
}

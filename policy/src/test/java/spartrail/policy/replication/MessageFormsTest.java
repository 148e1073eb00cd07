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
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;

/** Messages about policy keep the bytes of the first released form; nodes of two versions understand each other. */
class MessageFormsTest {
    private static final long LARGE = 0x1234_5678_9abc_def0L;
    private static final PolicyLog.Entry HOLDS =
            new PolicyLog.Entry(7, "{\"/sends/most\":3.0}", "ana", PolicyLog.Stage.HOLDS, "", "t7");

    private static PolicyLog.Entry entry(PolicyLog.Stage stage) {
        return new PolicyLog.Entry(LARGE, "{}", "bo", stage, "why é", "t8");
    }

    private static List<?> told(PolicyLog.Stage open) {
        return PolicyMessageCodec.told(new PolicyResponse(-LARGE, 300, HOLDS, open == null ? null : entry(open)));
    }

    private static Map<String, List<?>> policyMessages() {
        Map<String, List<?>> messages = new LinkedHashMap<>();
        messages.put("ASK", PolicyMessageCodec.ask(new PolicyRequest(LARGE, "n1", 8, "", "7|8?")));
        messages.put(
                "ASK with a refusal",
                PolicyMessageCodec.ask(new PolicyRequest(-1, "n1", 70_000, "/sends/most: too few", "")));
        messages.put("TOLD", told(null));
        for (PolicyLog.Stage stage : PolicyLog.Stage.values()) {
            messages.put("TOLD " + stage.ordinal(), told(stage));
        }
        messages.put("ELSEWHERE", List.of(PolicyMessageCodec.ELSEWHERE, LARGE, "n2"));
        messages.put("ELSEWHERE unknown", List.of(PolicyMessageCodec.ELSEWHERE, 1L, ""));
        messages.put("NEWS", List.of(PolicyMessageCodec.NEWS));
        messages.put(
                "LOG",
                List.of(
                        PolicyMessageCodec.LOG,
                        RaftMessageCodec.plain(raftMessages().get("VOTE"))));
        messages.put(
                "ORDER to propose",
                List.of(
                        PolicyMessageCodec.ORDER,
                        "token",
                        LogOperation.Kind.PROPOSE.name(),
                        0L,
                        "{\"/sends/most\":3.0}",
                        "ana"));
        messages.put(
                "ORDER to abort",
                List.of(PolicyMessageCodec.ORDER, "token", LogOperation.Kind.ABORT.name(), 8L, "", "ana"));
        messages.put("DONE", List.of(PolicyMessageCodec.DONE, "token", "8", "127.0.0.1:7000"));
        messages.put("QUESTION", List.of(PolicyMessageCodec.QUESTION, "token", "show"));
        messages.put(
                "QUESTION to check", List.of(PolicyMessageCodec.QUESTION, "token", PolicyMessageCodec.CHECK + "{}"));
        messages.put("REPLY", List.of(PolicyMessageCodec.REPLY, "token", "!busy"));
        return messages;
    }

    @Test
    void policyMessagesKeepTheirBytes() throws IOException {
        assertSame("policy-messages.txt", policyMessages());
    }

    @Test
    void storedPolicyMessagesAreReadAndWrittenAgain() throws IOException {
        for (Map.Entry<String, String> form :
                StoredForms.read("policy-messages.txt").entrySet()) {
            List<?> plain = PolicyMessageCodec.plain(StoredForms.bytes(form.getValue()));
            List<?> again =
                    switch (PolicyMessageCodec.intAt(plain, 0)) {
                        case PolicyMessageCodec.ASK -> PolicyMessageCodec.ask(PolicyMessageCodec.ask(plain));
                        case PolicyMessageCodec.TOLD -> PolicyMessageCodec.told(PolicyMessageCodec.told(plain));
                        case PolicyMessageCodec.LOG -> List.of(
                                PolicyMessageCodec.LOG,
                                RaftMessageCodec.plain(RaftMessageCodec.message((List<?>) plain.get(1))));
                        default -> plain;
                    };
            assertThat(StoredForms.hex(PolicyMessageCodec.bytes(again)))
                    .as(form.getKey())
                    .isEqualTo(form.getValue());
        }
    }

    private static Map<String, RaftMessage> raftMessages() {
        RaftEndpoint sender = new Voter("n1");
        Map<String, RaftMessage> messages = new LinkedHashMap<>();
        messages.put(
                "ENTRIES",
                RaftMessageCodec.MODEL
                        .createAppendEntriesRequestBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setPreviousLogTerm(2)
                        .setPreviousLogIndex(LARGE)
                        .setCommitIndex(300)
                        .setLogEntries(entries())
                        .setQuerySequenceNumber(4)
                        .setFlowControlSequenceNumber(5)
                        .build());
        messages.put(
                "ENTRIES TAKEN",
                RaftMessageCodec.MODEL
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
                RaftMessageCodec.MODEL
                        .createAppendEntriesFailureResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setExpectedNextIndex(300)
                        .setQuerySequenceNumber(4)
                        .setFlowControlSequenceNumber(5)
                        .build());
        messages.put("SNAPSHOT", snapshot(chunk(300, 0)));
        messages.put("SNAPSHOT without a chunk", snapshot(null));
        messages.put(
                "SNAPSHOT TAKEN",
                RaftMessageCodec.MODEL
                        .createInstallSnapshotResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setSnapshotIndex(300)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(4)
                        .setFlowControlSequenceNumber(5)
                        .build());
        messages.put(
                "PRE-VOTE ASKED",
                RaftMessageCodec.MODEL
                        .createPreVoteRequestBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(300)
                        .build());
        messages.put(
                "PRE-VOTE",
                RaftMessageCodec.MODEL
                        .createPreVoteResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setGranted(true)
                        .build());
        messages.put(
                "VOTE ASKED",
                RaftMessageCodec.MODEL
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
                RaftMessageCodec.MODEL
                        .createVoteResponseBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setGranted(false)
                        .build());
        messages.put(
                "LEAD",
                RaftMessageCodec.MODEL
                        .createTriggerLeaderElectionRequestBuilder()
                        .setGroupId("recife")
                        .setSender(sender)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(300)
                        .build());
        return messages;
    }

    private static RaftMessage snapshot(SnapshotChunk chunk) {
        return RaftMessageCodec.MODEL
                .createInstallSnapshotRequestBuilder()
                .setGroupId("recife")
                .setSender(new Voter("n1"))
                .setTerm(3)
                .setSenderLeader(true)
                .setSnapshotTerm(2)
                .setSnapshotIndex(300)
                .setTotalSnapshotChunkCount(1)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(Voter.endpoints(List.of("n0", "n1")))
                .setGroupMembersView(members())
                .setQuerySequenceNumber(4)
                .setFlowControlSequenceNumber(5)
                .build();
    }

    static RaftGroupMembersView members() {
        return RaftMessageCodec.MODEL
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(9)
                .setMembers(Voter.endpoints(List.of("n0", "n1", "n2")))
                .setVotingMembers(Voter.endpoints(List.of("n0", "n1")))
                .build();
    }

    /** The state of a log that has seen a proposal of each outcome, as a snapshot holds it. */
    private static List<Object> logState() {
        PolicyLog log = new PolicyLog();
        log.apply(1, LogOperation.OF_NEW_TERM);
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

    static SnapshotChunk chunk(long index, int place) {
        return RaftMessageCodec.MODEL
                .createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(logState())
                .setSnapshotChunkIndex(place)
                .setSnapshotChunkCount(1)
                .setGroupMembersView(members())
                .build();
    }

    static LogEntry entry(long index, Object operation) {
        return RaftMessageCodec.MODEL
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(operation)
                .build();
    }

    /** An entry of each kind. */
    static List<LogEntry> entries() {
        List<LogEntry> entries = new ArrayList<>();
        long index = 300;
        for (LogOperation.Kind kind : LogOperation.Kind.values()) {
            entries.add(entry(++index, new LogOperation(kind, LARGE, "text", "ana", "token")));
        }
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            entries.add(entry(
                    ++index,
                    RaftMessageCodec.MODEL
                            .createUpdateRaftGroupMembersOpBuilder()
                            .setMembers(Voter.endpoints(List.of("n0", "n1", "n2")))
                            .setVotingMembers(Voter.endpoints(List.of("n0", "n1")))
                            .setEndpoint(new Voter("n2"))
                            .setMode(mode)
                            .build()));
        }
        return entries;
    }

    @Test
    void raftMessagesAndLogEntriesKeepTheirBytes() throws IOException {
        Map<String, List<?>> seen = new LinkedHashMap<>();
        raftMessages().forEach((name, message) -> seen.put(name, RaftMessageCodec.plain(message)));
        for (LogEntry entry : entries()) {
            seen.put("entry " + entry.getIndex(), RaftMessageCodec.plain(entry));
        }
        assertSame("raft-messages.txt", seen);
    }

    @Test
    void storedRaftMessagesAndLogEntriesAreReadAndWrittenAgain() throws IOException {
        for (Map.Entry<String, String> form :
                StoredForms.read("raft-messages.txt").entrySet()) {
            List<?> plain = PolicyMessageCodec.plain(StoredForms.bytes(form.getValue()));
            List<?> again = form.getKey().startsWith("entry")
                    ? RaftMessageCodec.plain(RaftMessageCodec.entry(plain))
                    : RaftMessageCodec.plain(RaftMessageCodec.message(plain));
            assertThat(StoredForms.hex(PolicyMessageCodec.bytes(again)))
                    .as(form.getKey())
                    .isEqualTo(form.getValue());
        }
    }

    @Test
    void piecesKeepTheirBytes() throws IOException {
        Map<String, String> stored = StoredForms.read("pieces.txt");
        Map<String, String> seen = new LinkedHashMap<>();
        byte[] message = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11};
        int place = 0;
        for (byte[] piece : new DatagramReassembler(13, 0x01020304).split(message)) {
            seen.put("piece " + place++, StoredForms.hex(piece));
        }
        StoredForms.writeSeen("pieces.txt", seen);
        assertThat(seen).isEqualTo(stored);

        DatagramReassembler receiver = new DatagramReassembler(13, 9);
        byte[] complete = null;
        for (String piece : stored.values()) {
            complete = receiver.add("sender", StoredForms.bytes(piece));
        }
        assertThat(complete).isEqualTo(message);
    }

    @Test
    void crashPointsKeepTheirNames() throws IOException {
        Map<String, String> seen = new LinkedHashMap<>();
        for (String point : CrashPoint.all()) {
            seen.put(String.valueOf(seen.size()), point);
        }
        StoredForms.writeSeen("crash-points.txt", seen);
        assertThat(seen).isEqualTo(StoredForms.read("crash-points.txt"));
    }

    private static void assertSame(String resource, Map<String, List<?>> messages) throws IOException {
        Map<String, String> seen = new LinkedHashMap<>();
        messages.forEach((name, plain) -> seen.put(name, StoredForms.hex(PolicyMessageCodec.bytes(plain))));
        StoredForms.writeSeen(resource, seen);
        assertThat(seen).isEqualTo(StoredForms.read(resource));
    }
}

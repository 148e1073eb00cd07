package spartrail.policy.replication;

import static spartrail.policy.replication.PolicyMessageCodec.intAt;
import static spartrail.policy.replication.PolicyMessageCodec.longAt;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import spartrail.policy.LogOperation;

/** The library's messages and entries as plain lists, and back. The first value of a message is its kind. */
final class RaftMessageCodec {
    /** Kinds of messages, by their numbers from 1 on. */
    static final List<String> NAMES = List.of(
            "ENTRIES",
            "ENTRIES TAKEN",
            "ENTRIES REFUSED",
            "SNAPSHOT",
            "SNAPSHOT TAKEN",
            "PRE-VOTE ASKED",
            "PRE-VOTE",
            "VOTE ASKED",
            "VOTE",
            "LEAD");

    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private RaftMessageCodec() {}

    /** A message; null for a kind that is not known. */
    static List<?> plain(RaftMessage message) {
        List<Object> out =
                new ArrayList<>(List.of(0, message.getGroupId(), Voter.nameOf(message.getSender()), message.getTerm()));
        if (message instanceof AppendEntriesRequest m) {
            List<Object> entries = new ArrayList<>();
            m.getLogEntries().forEach(entry -> entries.add(plain(entry)));
            fill(
                    out,
                    1,
                    m.getPreviousLogTerm(),
                    m.getPreviousLogIndex(),
                    m.getCommitIndex(),
                    entries,
                    m.getQuerySequenceNumber(),
                    m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            fill(out, 2, m.getLastLogIndex(), m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            fill(out, 3, m.getExpectedNextIndex(), m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            fill(
                    out,
                    4,
                    m.isSenderLeader(),
                    m.getSnapshotTerm(),
                    m.getSnapshotIndex(),
                    m.getTotalSnapshotChunkCount(),
                    m.getSnapshotChunk() == null ? "" : plain(m.getSnapshotChunk()),
                    Voter.namesOf(m.getSnapshottedMembers()),
                    plain(m.getGroupMembersView()),
                    m.getQuerySequenceNumber(),
                    m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse m) {
            fill(
                    out,
                    5,
                    m.getSnapshotIndex(),
                    m.getRequestedSnapshotChunkIndex(),
                    m.getQuerySequenceNumber(),
                    m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            fill(out, 6, m.getLastLogTerm(), m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            fill(out, 7, m.isGranted());
        } else if (message instanceof VoteRequest m) {
            fill(out, 8, m.getLastLogTerm(), m.getLastLogIndex(), m.isSticky());
        } else if (message instanceof VoteResponse m) {
            fill(out, 9, m.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            fill(out, 10, m.getLastLogTerm(), m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("unknown message " + message.getClass());
        }
        return out;
    }

    private static void fill(List<Object> out, int kind, Object... values) {
        out.set(0, kind);
        out.addAll(List.of(values));
    }

    static RaftMessage message(List<?> in) {
        Object group = in.get(1);
        RaftEndpoint sender = Voter.endpointOrNull(in.get(2));
        int term = intAt(in, 3);
        return switch (intAt(in, 0)) {
            case 1 -> {
                List<LogEntry> entries = new ArrayList<>();
                ((List<?>) in.get(7)).forEach(entry -> entries.add(entry((List<?>) entry)));
                yield MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(intAt(in, 4))
                        .setPreviousLogIndex(longAt(in, 5))
                        .setCommitIndex(longAt(in, 6))
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(longAt(in, 8))
                        .setFlowControlSequenceNumber(longAt(in, 9))
                        .build();
            }
            case 2 -> MODEL.createAppendEntriesSuccessResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setLastLogIndex(longAt(in, 4))
                    .setQuerySequenceNumber(longAt(in, 5))
                    .setFlowControlSequenceNumber(longAt(in, 6))
                    .build();
            case 3 -> MODEL.createAppendEntriesFailureResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setExpectedNextIndex(longAt(in, 4))
                    .setQuerySequenceNumber(longAt(in, 5))
                    .setFlowControlSequenceNumber(longAt(in, 6))
                    .build();
            case 4 -> MODEL.createInstallSnapshotRequestBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setSenderLeader((Boolean) in.get(4))
                    .setSnapshotTerm(intAt(in, 5))
                    .setSnapshotIndex(longAt(in, 6))
                    .setTotalSnapshotChunkCount(intAt(in, 7))
                    .setSnapshotChunk(in.get(8) instanceof List<?> chunk ? chunk(chunk) : null)
                    .setSnapshottedMembers(Voter.endpoints(PolicyMessageCodec.names(in.get(9))))
                    .setGroupMembersView(group((List<?>) in.get(10)))
                    .setQuerySequenceNumber(longAt(in, 11))
                    .setFlowControlSequenceNumber(longAt(in, 12))
                    .build();
            case 5 -> MODEL.createInstallSnapshotResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setSnapshotIndex(longAt(in, 4))
                    .setRequestedSnapshotChunkIndex(intAt(in, 5))
                    .setQuerySequenceNumber(longAt(in, 6))
                    .setFlowControlSequenceNumber(longAt(in, 7))
                    .build();
            case 6 -> MODEL.createPreVoteRequestBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setLastLogTerm(intAt(in, 4))
                    .setLastLogIndex(longAt(in, 5))
                    .build();
            case 7 -> MODEL.createPreVoteResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setGranted((Boolean) in.get(4))
                    .build();
            case 8 -> MODEL.createVoteRequestBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setLastLogTerm(intAt(in, 4))
                    .setLastLogIndex(longAt(in, 5))
                    .setSticky((Boolean) in.get(6))
                    .build();
            case 9 -> MODEL.createVoteResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setGranted((Boolean) in.get(4))
                    .build();
            case 10 -> MODEL.createTriggerLeaderElectionRequestBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setLastLogTerm(intAt(in, 4))
                    .setLastLogIndex(longAt(in, 5))
                    .build();
            default -> throw new IllegalArgumentException("unknown kind " + in.get(0));
        };
    }

    static List<?> plain(LogEntry entry) {
        return List.of(entry.getIndex(), entry.getTerm(), operation(entry.getOperation()));
    }

    static LogEntry entry(List<?> in) {
        return MODEL.createLogEntryBuilder()
                .setIndex(longAt(in, 0))
                .setTerm(intAt(in, 1))
                .setOperation(operation((List<?>) in.get(2)))
                .build();
    }

    /** What an entry does: one of ours, or a change of who decides. */
    private static List<?> operation(Object operation) {
        if (operation instanceof UpdateRaftGroupMembersOp op) {
            return List.of(
                    "MEMBERS",
                    Voter.namesOf(op.getMembers()),
                    Voter.namesOf(op.getVotingMembers()),
                    Voter.nameOf(op.getEndpoint()),
                    op.getMode().name());
        }
        return ((LogOperation) operation).toList();
    }

    private static Object operation(List<?> in) {
        if (in.get(0).equals("MEMBERS")) {
            return MODEL.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(Voter.endpoints(PolicyMessageCodec.names(in.get(1))))
                    .setVotingMembers(Voter.endpoints(PolicyMessageCodec.names(in.get(2))))
                    .setEndpoint(Voter.endpointOrNull(in.get(3)))
                    .setMode(MembershipChangeMode.valueOf((String) in.get(4)))
                    .build();
        }
        return LogOperation.fromList(in);
    }

    static List<?> plain(RaftGroupMembersView group) {
        return List.of(group.getLogIndex(), Voter.namesOf(group.getMembers()), Voter.namesOf(group.getVotingMembers()));
    }

    static RaftGroupMembersView group(List<?> in) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(longAt(in, 0))
                .setMembers(Voter.endpoints(PolicyMessageCodec.names(in.get(1))))
                .setVotingMembers(Voter.endpoints(PolicyMessageCodec.names(in.get(2))))
                .build();
    }

    static List<?> plain(SnapshotChunk chunk) {
        return List.of(
                chunk.getIndex(),
                chunk.getTerm(),
                chunk.getOperation(),
                chunk.getSnapshotChunkIndex(),
                chunk.getSnapshotChunkCount(),
                plain(chunk.getGroupMembersView()));
    }

    static SnapshotChunk chunk(List<?> in) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(longAt(in, 0))
                .setTerm(intAt(in, 1))
                .setOperation(in.get(2))
                .setSnapshotChunkIndex(intAt(in, 3))
                .setSnapshotChunkCount(intAt(in, 4))
                .setGroupMembersView(group((List<?>) in.get(5)))
                .build();
    }
}

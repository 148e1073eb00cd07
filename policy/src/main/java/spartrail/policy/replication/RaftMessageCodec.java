package spartrail.policy.replication;

import static spartrail.policy.replication.PolicyMessageCodec.number;
import static spartrail.policy.replication.PolicyMessageCodec.whole;

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
                new ArrayList<>(List.of(0, message.getGroupId(), Voter.name(message.getSender()), message.getTerm()));
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
                    Voter.names(m.getSnapshottedMembers()),
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
        RaftEndpoint sender = Voter.of(in.get(2));
        int term = whole(in, 3);
        return switch (whole(in, 0)) {
            case 1 -> {
                List<LogEntry> entries = new ArrayList<>();
                ((List<?>) in.get(7)).forEach(entry -> entries.add(entry((List<?>) entry)));
                yield MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(whole(in, 4))
                        .setPreviousLogIndex(number(in, 5))
                        .setCommitIndex(number(in, 6))
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(number(in, 8))
                        .setFlowControlSequenceNumber(number(in, 9))
                        .build();
            }
            case 2 -> MODEL.createAppendEntriesSuccessResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setLastLogIndex(number(in, 4))
                    .setQuerySequenceNumber(number(in, 5))
                    .setFlowControlSequenceNumber(number(in, 6))
                    .build();
            case 3 -> MODEL.createAppendEntriesFailureResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setExpectedNextIndex(number(in, 4))
                    .setQuerySequenceNumber(number(in, 5))
                    .setFlowControlSequenceNumber(number(in, 6))
                    .build();
            case 4 -> MODEL.createInstallSnapshotRequestBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setSenderLeader((Boolean) in.get(4))
                    .setSnapshotTerm(whole(in, 5))
                    .setSnapshotIndex(number(in, 6))
                    .setTotalSnapshotChunkCount(whole(in, 7))
                    .setSnapshotChunk(in.get(8) instanceof List<?> chunk ? chunk(chunk) : null)
                    .setSnapshottedMembers(Voter.of(PolicyMessageCodec.names(in.get(9))))
                    .setGroupMembersView(group((List<?>) in.get(10)))
                    .setQuerySequenceNumber(number(in, 11))
                    .setFlowControlSequenceNumber(number(in, 12))
                    .build();
            case 5 -> MODEL.createInstallSnapshotResponseBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setSnapshotIndex(number(in, 4))
                    .setRequestedSnapshotChunkIndex(whole(in, 5))
                    .setQuerySequenceNumber(number(in, 6))
                    .setFlowControlSequenceNumber(number(in, 7))
                    .build();
            case 6 -> MODEL.createPreVoteRequestBuilder()
                    .setGroupId(group)
                    .setSender(sender)
                    .setTerm(term)
                    .setLastLogTerm(whole(in, 4))
                    .setLastLogIndex(number(in, 5))
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
                    .setLastLogTerm(whole(in, 4))
                    .setLastLogIndex(number(in, 5))
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
                    .setLastLogTerm(whole(in, 4))
                    .setLastLogIndex(number(in, 5))
                    .build();
            default -> throw new IllegalArgumentException("unknown kind " + in.get(0));
        };
    }

    static List<?> plain(LogEntry entry) {
        return List.of(entry.getIndex(), entry.getTerm(), operation(entry.getOperation()));
    }

    static LogEntry entry(List<?> in) {
        return MODEL.createLogEntryBuilder()
                .setIndex(number(in, 0))
                .setTerm(whole(in, 1))
                .setOperation(operation((List<?>) in.get(2)))
                .build();
    }

    /** What an entry does: one of ours, or a change of who decides. */
    private static List<?> operation(Object operation) {
        if (operation instanceof UpdateRaftGroupMembersOp op) {
            return List.of(
                    "MEMBERS",
                    Voter.names(op.getMembers()),
                    Voter.names(op.getVotingMembers()),
                    Voter.name(op.getEndpoint()),
                    op.getMode().name());
        }
        return ((LogOperation) operation).plain();
    }

    private static Object operation(List<?> in) {
        if (in.get(0).equals("MEMBERS")) {
            return MODEL.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(Voter.of(PolicyMessageCodec.names(in.get(1))))
                    .setVotingMembers(Voter.of(PolicyMessageCodec.names(in.get(2))))
                    .setEndpoint(Voter.of(in.get(3)))
                    .setMode(MembershipChangeMode.valueOf((String) in.get(4)))
                    .build();
        }
        return LogOperation.of(in);
    }

    static List<?> plain(RaftGroupMembersView group) {
        return List.of(group.getLogIndex(), Voter.names(group.getMembers()), Voter.names(group.getVotingMembers()));
    }

    static RaftGroupMembersView group(List<?> in) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(number(in, 0))
                .setMembers(Voter.of(PolicyMessageCodec.names(in.get(1))))
                .setVotingMembers(Voter.of(PolicyMessageCodec.names(in.get(2))))
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
                .setIndex(number(in, 0))
                .setTerm(whole(in, 1))
                .setOperation(in.get(2))
                .setSnapshotChunkIndex(whole(in, 3))
                .setSnapshotChunkCount(whole(in, 4))
                .setGroupMembersView(group((List<?>) in.get(5)))
                .build();
    }
}

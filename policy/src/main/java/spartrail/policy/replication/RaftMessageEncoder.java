package spartrail.policy.replication;

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

/** Writes Raft messages: the number of the kind, group, sender and term, and then the fields of the kind. */
final class RaftMessageEncoder {
    private RaftMessageEncoder() {}

    /** Writes the values of a message to an array. */
    static void write(CborArrayWriter out, RaftMessage message) {
        RaftMessageKind kind = RaftMessageKind.of(message);
        out.number(kind.wireNumber())
                .text((String) message.getGroupId())
                .text(Voter.nameOf(message.getSender()))
                .number(message.getTerm());
        switch (kind) {
            case APPEND_ENTRIES_REQUEST -> writeFields(out, (AppendEntriesRequest) message);
            case APPEND_ENTRIES_SUCCESS -> writeFields(out, (AppendEntriesSuccessResponse) message);
            case APPEND_ENTRIES_FAILURE -> writeFields(out, (AppendEntriesFailureResponse) message);
            case INSTALL_SNAPSHOT_REQUEST -> writeFields(out, (InstallSnapshotRequest) message);
            case INSTALL_SNAPSHOT_RESPONSE -> writeFields(out, (InstallSnapshotResponse) message);
            case PRE_VOTE_REQUEST -> writeFields(out, (PreVoteRequest) message);
            case PRE_VOTE_RESPONSE -> out.flag(((PreVoteResponse) message).isGranted());
            case VOTE_REQUEST -> writeFields(out, (VoteRequest) message);
            case VOTE_RESPONSE -> out.flag(((VoteResponse) message).isGranted());
            case TRIGGER_LEADER_ELECTION -> writeFields(out, (TriggerLeaderElectionRequest) message);
            default -> throw new IllegalStateException(
                    "found a Raft message of kind " + kind + ", for which no fields are defined");
        }
    }

    private static void writeFields(CborArrayWriter out, AppendEntriesRequest request) {
        out.number(request.getPreviousLogTerm())
                .number(request.getPreviousLogIndex())
                .number(request.getCommitIndex())
                .array(entries -> request.getLogEntries()
                        .forEach(entry -> entries.array(values -> LogEntryCodec.writeEntry(values, entry))))
                .number(request.getQuerySequenceNumber())
                .number(request.getFlowControlSequenceNumber());
    }

    private static void writeFields(CborArrayWriter out, AppendEntriesSuccessResponse response) {
        out.number(response.getLastLogIndex())
                .number(response.getQuerySequenceNumber())
                .number(response.getFlowControlSequenceNumber());
    }

    private static void writeFields(CborArrayWriter out, AppendEntriesFailureResponse response) {
        out.number(response.getExpectedNextIndex())
                .number(response.getQuerySequenceNumber())
                .number(response.getFlowControlSequenceNumber());
    }

    private static void writeFields(CborArrayWriter out, InstallSnapshotRequest request) {
        out.flag(request.isSenderLeader())
                .number(request.getSnapshotTerm())
                .number(request.getSnapshotIndex())
                .number(request.getTotalSnapshotChunkCount());
        if (request.getSnapshotChunk() == null) {
            out.text("");
        } else {
            out.array(chunk -> LogEntryCodec.writeChunk(chunk, request.getSnapshotChunk()));
        }
        out.texts(Voter.namesOf(request.getSnapshottedMembers()))
                .array(members -> LogEntryCodec.writeMembers(members, request.getGroupMembersView()))
                .number(request.getQuerySequenceNumber())
                .number(request.getFlowControlSequenceNumber());
    }

    private static void writeFields(CborArrayWriter out, InstallSnapshotResponse response) {
        out.number(response.getSnapshotIndex())
                .number(response.getRequestedSnapshotChunkIndex())
                .number(response.getQuerySequenceNumber())
                .number(response.getFlowControlSequenceNumber());
    }

    private static void writeFields(CborArrayWriter out, PreVoteRequest request) {
        out.number(request.getLastLogTerm()).number(request.getLastLogIndex());
    }

    private static void writeFields(CborArrayWriter out, VoteRequest request) {
        out.number(request.getLastLogTerm()).number(request.getLastLogIndex()).flag(request.isSticky());
    }

    private static void writeFields(CborArrayWriter out, TriggerLeaderElectionRequest request) {
        out.number(request.getLastLogTerm()).number(request.getLastLogIndex());
    }
}

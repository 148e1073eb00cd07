package spartrail.policy.replication;

import static spartrail.policy.replication.LogEntryCodec.MODEL;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.List;
import spartrail.model.MalformedMessageException;

/** Reads Raft messages as {@link RaftMessageEncoder} writes them. */
final class RaftMessageDecoder {
    /** The fields that all kinds of messages have. */
    private record Header(String group, RaftEndpoint sender, int term) {}

    private RaftMessageDecoder() {}

    /** Reads a message from the next values. */
    static RaftMessage read(CborArrayReader in) throws MalformedMessageException {
        RaftMessageKind kind = RaftMessageKind.ofWireNumber(in.nextInt());
        Header header = new Header(in.nextText(), Voter.endpointOrNull(in.nextText()), in.nextInt());
        return switch (kind) {
            case APPEND_ENTRIES_REQUEST -> readAppendEntriesRequest(in, header);
            case APPEND_ENTRIES_SUCCESS -> readAppendEntriesSuccess(in, header);
            case APPEND_ENTRIES_FAILURE -> readAppendEntriesFailure(in, header);
            case INSTALL_SNAPSHOT_REQUEST -> readInstallSnapshotRequest(in, header);
            case INSTALL_SNAPSHOT_RESPONSE -> readInstallSnapshotResponse(in, header);
            case PRE_VOTE_REQUEST -> readPreVoteRequest(in, header);
            case PRE_VOTE_RESPONSE -> readPreVoteResponse(in, header);
            case VOTE_REQUEST -> readVoteRequest(in, header);
            case VOTE_RESPONSE -> readVoteResponse(in, header);
            case TRIGGER_LEADER_ELECTION -> readTriggerLeaderElection(in, header);
        };
    }

    private static RaftMessage readAppendEntriesRequest(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setPreviousLogTerm(in.nextInt())
                .setPreviousLogIndex(in.nextLong())
                .setCommitIndex(in.nextLong())
                .setLogEntries(readEntries(in.nextArray()))
                .setQuerySequenceNumber(in.nextLong())
                .setFlowControlSequenceNumber(in.nextLong())
                .build();
    }

    private static List<LogEntry> readEntries(CborArrayReader in) throws MalformedMessageException {
        List<LogEntry> entries = new ArrayList<>();
        while (in.hasNext()) {
            entries.add(LogEntryCodec.readEntry(in.nextArray()));
        }
        return entries;
    }

    private static RaftMessage readAppendEntriesSuccess(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createAppendEntriesSuccessResponseBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogIndex(in.nextLong())
                .setQuerySequenceNumber(in.nextLong())
                .setFlowControlSequenceNumber(in.nextLong())
                .build();
    }

    private static RaftMessage readAppendEntriesFailure(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createAppendEntriesFailureResponseBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setExpectedNextIndex(in.nextLong())
                .setQuerySequenceNumber(in.nextLong())
                .setFlowControlSequenceNumber(in.nextLong())
                .build();
    }

    private static RaftMessage readInstallSnapshotRequest(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setSenderLeader(in.nextFlag())
                .setSnapshotTerm(in.nextInt())
                .setSnapshotIndex(in.nextLong())
                .setTotalSnapshotChunkCount(in.nextInt())
                .setSnapshotChunk(readChunkOrNull(in.nextArrayOrNull()))
                .setSnapshottedMembers(Voter.endpointsOf(in.nextTexts()))
                .setGroupMembersView(LogEntryCodec.readMembers(in.nextArray()))
                .setQuerySequenceNumber(in.nextLong())
                .setFlowControlSequenceNumber(in.nextLong())
                .build();
    }

    private static SnapshotChunk readChunkOrNull(CborArrayReader chunk) throws MalformedMessageException {
        return chunk == null ? null : LogEntryCodec.readChunk(chunk);
    }

    private static RaftMessage readInstallSnapshotResponse(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createInstallSnapshotResponseBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setSnapshotIndex(in.nextLong())
                .setRequestedSnapshotChunkIndex(in.nextInt())
                .setQuerySequenceNumber(in.nextLong())
                .setFlowControlSequenceNumber(in.nextLong())
                .build();
    }

    private static RaftMessage readPreVoteRequest(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createPreVoteRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nextInt())
                .setLastLogIndex(in.nextLong())
                .build();
    }

    private static RaftMessage readPreVoteResponse(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createPreVoteResponseBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.nextFlag())
                .build();
    }

    private static RaftMessage readVoteRequest(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createVoteRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nextInt())
                .setLastLogIndex(in.nextLong())
                .setSticky(in.nextFlag())
                .build();
    }

    private static RaftMessage readVoteResponse(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createVoteResponseBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.nextFlag())
                .build();
    }

    private static RaftMessage readTriggerLeaderElection(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nextInt())
                .setLastLogIndex(in.nextLong())
                .build();
    }
}

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
    /** What all kinds of messages have. */
    private record Header(String group, RaftEndpoint sender, int term) {}

    private RaftMessageDecoder() {}

    /** The message whose values come next. */
    static RaftMessage read(CborArrayReader in) throws MalformedMessageException {
        RaftMessageKind kind = RaftMessageKind.ofWireNumber(in.nextInt());
        Header header = new Header(in.nextText(), Voter.endpointOrNull(in.nextText()), in.nextInt());
        return switch (kind) {
            case APPEND_ENTRIES_REQUEST -> appendEntriesRequest(in, header);
            case APPEND_ENTRIES_SUCCESS -> appendEntriesSuccess(in, header);
            case APPEND_ENTRIES_FAILURE -> appendEntriesFailure(in, header);
            case INSTALL_SNAPSHOT_REQUEST -> installSnapshotRequest(in, header);
            case INSTALL_SNAPSHOT_RESPONSE -> installSnapshotResponse(in, header);
            case PRE_VOTE_REQUEST -> preVoteRequest(in, header);
            case PRE_VOTE_RESPONSE -> preVoteResponse(in, header);
            case VOTE_REQUEST -> voteRequest(in, header);
            case VOTE_RESPONSE -> voteResponse(in, header);
            case TRIGGER_LEADER_ELECTION -> triggerLeaderElection(in, header);
        };
    }

    private static RaftMessage appendEntriesRequest(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setPreviousLogTerm(in.nextInt())
                .setPreviousLogIndex(in.nextLong())
                .setCommitIndex(in.nextLong())
                .setLogEntries(entries(in.nextArray()))
                .setQuerySequenceNumber(in.nextLong())
                .setFlowControlSequenceNumber(in.nextLong())
                .build();
    }

    private static List<LogEntry> entries(CborArrayReader in) throws MalformedMessageException {
        List<LogEntry> entries = new ArrayList<>();
        while (in.hasNext()) {
            entries.add(LogEntryCodec.readEntry(in.nextArray()));
        }
        return entries;
    }

    private static RaftMessage appendEntriesSuccess(CborArrayReader in, Header header)
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

    private static RaftMessage appendEntriesFailure(CborArrayReader in, Header header)
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

    private static RaftMessage installSnapshotRequest(CborArrayReader in, Header header)
            throws MalformedMessageException {
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setSenderLeader(in.nextFlag())
                .setSnapshotTerm(in.nextInt())
                .setSnapshotIndex(in.nextLong())
                .setTotalSnapshotChunkCount(in.nextInt())
                .setSnapshotChunk(chunkOrNull(in.nextArrayOrNull()))
                .setSnapshottedMembers(Voter.endpoints(in.nextTexts()))
                .setGroupMembersView(LogEntryCodec.readMembers(in.nextArray()))
                .setQuerySequenceNumber(in.nextLong())
                .setFlowControlSequenceNumber(in.nextLong())
                .build();
    }

    private static SnapshotChunk chunkOrNull(CborArrayReader chunk) throws MalformedMessageException {
        return chunk == null ? null : LogEntryCodec.readChunk(chunk);
    }

    private static RaftMessage installSnapshotResponse(CborArrayReader in, Header header)
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

    private static RaftMessage preVoteRequest(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createPreVoteRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nextInt())
                .setLastLogIndex(in.nextLong())
                .build();
    }

    private static RaftMessage preVoteResponse(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createPreVoteResponseBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.nextFlag())
                .build();
    }

    private static RaftMessage voteRequest(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createVoteRequestBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nextInt())
                .setLastLogIndex(in.nextLong())
                .setSticky(in.nextFlag())
                .build();
    }

    private static RaftMessage voteResponse(CborArrayReader in, Header header) throws MalformedMessageException {
        return MODEL.createVoteResponseBuilder()
                .setGroupId(header.group())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.nextFlag())
                .build();
    }

    private static RaftMessage triggerLeaderElection(CborArrayReader in, Header header)
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

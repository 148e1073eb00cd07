package spartrail.policy.replication;

import io.microraft.MembershipChangeMode;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import spartrail.model.MalformedMessageException;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyLogSnapshot;

/** Encodes log entries, group members and snapshots, in the format that messages and the log on disk share. */
final class LogEntryCodec {
    /** The factory of the Raft library's model objects. */
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    /** The operation kind of an entry that changes the group's members. */
    private static final String MEMBERSHIP_CHANGE = "MEMBERS";

    private LogEntryCodec() {}

    /** Writes index, term and operation of an entry. */
    static void writeEntry(CborArrayWriter out, LogEntry entry) {
        out.number(entry.getIndex())
                .number(entry.getTerm())
                .array(operation -> writeOperation(operation, entry.getOperation()));
    }

    /** Reads an entry from the next values. */
    static LogEntry readEntry(CborArrayReader in) throws MalformedMessageException {
        return MODEL.createLogEntryBuilder()
                .setIndex(in.nextLong())
                .setTerm(in.nextInt())
                .setOperation(readOperation(in.nextArray()))
                .build();
    }

    private static void writeOperation(CborArrayWriter out, Object operation) {
        if (operation instanceof UpdateRaftGroupMembersOp change) {
            out.text(MEMBERSHIP_CHANGE)
                    .texts(Voter.namesOf(change.getMembers()))
                    .texts(Voter.namesOf(change.getVotingMembers()))
                    .text(Voter.nameOf(change.getEndpoint()))
                    .text(change.getMode().name());
        } else {
            PolicyLogCodec.writeOperation(out, (LogOperation) operation);
        }
    }

    private static Object readOperation(CborArrayReader in) throws MalformedMessageException {
        String kind = in.nextText();
        return kind.equals(MEMBERSHIP_CHANGE) ? readMembershipChange(in) : PolicyLogCodec.readOperation(kind, in);
    }

    private static UpdateRaftGroupMembersOp readMembershipChange(CborArrayReader in) throws MalformedMessageException {
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(Voter.endpointsOf(in.nextTexts()))
                .setVotingMembers(Voter.endpointsOf(in.nextTexts()))
                .setEndpoint(Voter.endpointOrNull(in.nextText()))
                .setMode(PolicyLogCodec.parseConstant(MembershipChangeMode.class, in.nextText()))
                .build();
    }

    /** Writes log index, members and voting members of a group. */
    static void writeMembers(CborArrayWriter out, RaftGroupMembersView members) {
        out.number(members.getLogIndex())
                .texts(Voter.namesOf(members.getMembers()))
                .texts(Voter.namesOf(members.getVotingMembers()));
    }

    /** Reads a group's members from the next values. */
    static RaftGroupMembersView readMembers(CborArrayReader in) throws MalformedMessageException {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(in.nextLong())
                .setMembers(Voter.endpointsOf(in.nextTexts()))
                .setVotingMembers(Voter.endpointsOf(in.nextTexts()))
                .build();
    }

    /** Writes a chunk of a snapshot. */
    static void writeChunk(CborArrayWriter out, SnapshotChunk chunk) {
        out.number(chunk.getIndex())
                .number(chunk.getTerm())
                .array(snapshot -> PolicyLogCodec.writeSnapshot(snapshot, (PolicyLogSnapshot) chunk.getOperation()))
                .number(chunk.getSnapshotChunkIndex())
                .number(chunk.getSnapshotChunkCount())
                .array(members -> writeMembers(members, chunk.getGroupMembersView()));
    }

    /** Reads a chunk from the next values. */
    static SnapshotChunk readChunk(CborArrayReader in) throws MalformedMessageException {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(in.nextLong())
                .setTerm(in.nextInt())
                .setOperation(PolicyLogCodec.readSnapshot(in.nextArray()))
                .setSnapshotChunkIndex(in.nextInt())
                .setSnapshotChunkCount(in.nextInt())
                .setGroupMembersView(readMembers(in.nextArray()))
                .build();
    }
}

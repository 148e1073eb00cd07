package spartrail.policy.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.util.List;

/** A record of the Raft log on disk. */
sealed interface LogRecord {
    /** The first record of a file: whose it is, and who votes. */
    record Header(String fleet, String node, List<String> voters) implements LogRecord {}

    /** This voter itself. */
    record LocalEndpoint(RaftEndpointPersistentState state) implements LogRecord {}

    /** The group's members as it began. */
    record InitialMembers(RaftGroupMembersView members) implements LogRecord {}

    /** The current term and the vote in it. */
    record Term(RaftTermPersistentState state) implements LogRecord {}

    /** An entry of the log. */
    record Entry(LogEntry entry) implements LogRecord {}

    /** Entries from this index on are gone. */
    record TruncateFrom(long index) implements LogRecord {}

    /** Entries up to this index are gone. */
    record TruncateUntil(long index) implements LogRecord {}

    /** A chunk of a snapshot. */
    record Chunk(SnapshotChunk chunk) implements LogRecord {}

    /** The chunks of the snapshot of this index are gone. */
    record DeleteSnapshot(long index) implements LogRecord {}
}

package spartrail.policy.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.util.List;

/** A record of the Raft log on disk. */
sealed interface LogRecord {
    /** The first record of a file: the fleet and node that it belongs to, and the voters of the group. */
    record Header(String fleet, String node, List<String> voters) implements LogRecord {}

    /** The endpoint of the voter that owns the file. */
    record LocalEndpoint(RaftEndpointPersistentState state) implements LogRecord {}

    /** The group's members at its creation. */
    record InitialMembers(RaftGroupMembersView members) implements LogRecord {}

    /** The current term and the vote cast in it. */
    record Term(RaftTermPersistentState state) implements LogRecord {}

    /** An entry of the log. */
    record Entry(LogEntry entry) implements LogRecord {}

    /** Removes the entries from this index on. */
    record TruncateFrom(long index) implements LogRecord {}

    /** Removes the entries up to and including this index. */
    record TruncateUntil(long index) implements LogRecord {}

    /** A chunk of a snapshot. */
    record Chunk(SnapshotChunk chunk) implements LogRecord {}

    /** Removes the chunks of the snapshot with this index. */
    record DeleteSnapshot(long index) implements LogRecord {}
}

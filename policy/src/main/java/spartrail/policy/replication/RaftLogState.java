package spartrail.policy.replication;

import static spartrail.policy.replication.LogEntryCodec.MODEL;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The state that the records of a log add up to: the latest of each kind, the remaining entries and snapshots. */
final class RaftLogState {
    private final LogRecord.Header header;
    private RaftEndpointPersistentState localEndpoint;
    private RaftGroupMembersView initialMembers;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    RaftLogState(LogRecord.Header header) {
        this.header = header;
    }

    /** Applies the next record. */
    void apply(LogRecord record) {
        if (record instanceof LogRecord.LocalEndpoint changed) {
            localEndpoint = changed.state();
        } else if (record instanceof LogRecord.InitialMembers changed) {
            initialMembers = changed.members();
        } else if (record instanceof LogRecord.Term changed) {
            term = changed.state();
        } else if (record instanceof LogRecord.Entry added) {
            entries.put(added.entry().getIndex(), added.entry());
        } else if (record instanceof LogRecord.TruncateFrom truncation) {
            entries.tailMap(truncation.index(), true).clear();
        } else if (record instanceof LogRecord.TruncateUntil truncation) {
            entries.headMap(truncation.index(), true).clear();
        } else if (record instanceof LogRecord.Chunk added) {
            chunks.computeIfAbsent(added.chunk().getIndex(), index -> new TreeMap<>())
                    .put(added.chunk().getSnapshotChunkIndex(), added.chunk());
        } else if (record instanceof LogRecord.DeleteSnapshot deletion) {
            chunks.remove(deletion.index());
        }
    }

    /** The state to start the Raft library with, or null if the log holds none yet. */
    RestoredRaftState toRestoredState() {
        if (localEndpoint == null || initialMembers == null || term == null) {
            return null;
        }
        SnapshotEntry snapshot = findLatestCompleteSnapshot();
        long coveredIndex = snapshot == null ? 0 : snapshot.getIndex();
        List<LogEntry> remaining =
                new ArrayList<>(entries.tailMap(coveredIndex, false).values());
        return new RestoredRaftState(localEndpoint, initialMembers, term, snapshot, remaining);
    }

    private SnapshotEntry findLatestCompleteSnapshot() {
        SnapshotEntry latest = null;
        for (TreeMap<Integer, SnapshotChunk> snapshot : chunks.values()) {
            SnapshotChunk first = snapshot.firstEntry().getValue();
            if (snapshot.size() == first.getSnapshotChunkCount()) {
                latest = MODEL.createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(new ArrayList<>(snapshot.values()))
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
            }
        }
        return latest;
    }

    /** The smallest list of records that gives the same state. */
    List<LogRecord> toRecords() {
        List<LogRecord> records = new ArrayList<>();
        records.add(header);
        records.add(new LogRecord.LocalEndpoint(localEndpoint));
        records.add(new LogRecord.InitialMembers(initialMembers));
        records.add(new LogRecord.Term(term));
        chunks.values()
                .forEach(snapshot -> snapshot.values().forEach(chunk -> records.add(new LogRecord.Chunk(chunk))));
        entries.values().forEach(entry -> records.add(new LogRecord.Entry(entry)));
        return records;
    }
}

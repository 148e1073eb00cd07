package spartrail.policy.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import spartrail.model.MalformedMessageException;

/**
 * What a voter must not forget, in a {@link RaftLogFile}. Entries that a snapshot covers are left out when the file is rewritten.
 *
 * <ol>
 * <li>Nothing is promised to others before what it rests on is synced: each call that says so, and {@link #flush}, syncs.
 * <li>Once a write or a sync has failed nothing more is written: what the file holds then is not known.
 * <li>A file of another node or fleet, one that another process has open, and one that is corrupt is refused, and this node does
 *     not vote: it might vote a second time in the same term.
 * </ol>
 */
final class RaftLogStore implements RaftStore, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.policy");

    private static final String LOCK_NAME = "policy.log.lock";

    /** A file is rewritten when it is so large and a snapshot covers some of its entries. */
    private static final long REWRITE_THRESHOLD_BYTES = 1 << 20;

    private final FileChannel lock;
    private RaftLogFile file;
    private final LogRecord.Header header;
    private final RaftLogState state;
    private boolean failed;
    private boolean hasCoveredEntries;

    /** Makes the log of one voter of a new group; an IOException where there is one. */
    static void bootstrap(Path folder, String fleet, String node, List<String> voters) throws IOException {
        RaftLogFile.create(folder, LogRecordCodec.encode(new LogRecord.Header(fleet, node, voters)));
    }

    /** Whether a folder has a log. */
    static boolean exists(Path folder) {
        return RaftLogFile.exists(folder);
    }

    /** Reads the log of this node; an IOException says in one line why it cannot be used. */
    RaftLogStore(Path folder, String fleet, String node) throws IOException {
        lock = FileChannel.open(folder.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (lock.tryLock() == null) {
                throw new IOException(folder + ": another process uses it");
            }
            file = new RaftLogFile(folder);
            List<byte[]> bodies = file.readAll();
            header = readHeader(bodies, fleet, node);
            state = new RaftLogState(header);
            for (byte[] body : bodies.subList(1, bodies.size())) {
                state.apply(readRecord(body));
            }
        } catch (OverlappingFileLockException e) {
            close();
            throw new IOException(folder + ": this process uses it already", e);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private LogRecord.Header readHeader(List<byte[]> bodies, String fleet, String node) throws IOException {
        if (bodies.isEmpty()) {
            throw new IOException(file.path() + ": does not begin as the log of policy does");
        }
        LogRecord.Header found;
        try {
            found = LogRecordCodec.decodeHeader(bodies.get(0));
        } catch (MalformedMessageException e) {
            throw new IOException(file.path() + ": " + e.getMessage(), e);
        }
        if (!found.fleet().equals(fleet) || !found.node().equals(node)) {
            throw new IOException(file.path() + ": is that of " + found.node() + " in " + found.fleet() + ", found by "
                    + node + " in " + fleet);
        }
        return found;
    }

    private LogRecord readRecord(byte[] body) throws IOException {
        try {
            return LogRecordCodec.decode(body);
        } catch (MalformedMessageException | RuntimeException e) {
            throw new IOException(file.path() + ": a record cannot be read: " + e.getMessage(), e);
        }
    }

    /** The voters of the group as it began. */
    List<String> voters() {
        return header.voters();
    }

    /** What the Raft library begins with, or null where nothing was stored yet. */
    RestoredRaftState restored() {
        return state.restored();
    }

    // ---- Writing ----

    private void append(LogRecord record) throws IOException {
        appendToFile(record, null);
        state.apply(record);
    }

    private void appendAndSync(LogRecord record, SyncPoint point) throws IOException {
        appendToFile(record, point);
        state.apply(record);
    }

    /** Syncs as well unless the point is null. */
    private void appendToFile(LogRecord record, SyncPoint point) throws IOException {
        checkNotFailed();
        try {
            file.append(LogRecordCodec.encode(record));
            if (point != null) {
                file.sync(point);
            }
        } catch (IOException e) {
            failed = true;
            LOG.log(
                    System.Logger.Level.ERROR,
                    file.path() + ": cannot be written, this node decides about policy no more: " + e.getMessage());
            throw e;
        }
    }

    private void checkNotFailed() throws IOException {
        if (failed) {
            throw new IOException("the log of policy has failed before");
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        appendAndSync(new LogRecord.LocalEndpoint(endpoint), SyncPoint.LOCAL_ENDPOINT);
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        appendAndSync(new LogRecord.InitialMembers(members), SyncPoint.INITIAL_MEMBERS);
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        appendAndSync(new LogRecord.Term(term), SyncPoint.TERM);
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            append(new LogRecord.Entry(entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        append(new LogRecord.Chunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        append(new LogRecord.TruncateFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        append(new LogRecord.TruncateUntil(index));
        hasCoveredEntries = true;
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        append(new LogRecord.DeleteSnapshot(index));
    }

    @Override
    public void flush() throws IOException {
        checkNotFailed();
        try {
            file.sync(SyncPoint.FLUSH);
            if (hasCoveredEntries && file.sizeBytes() > REWRITE_THRESHOLD_BYTES) {
                rewrite();
            }
        } catch (IOException e) {
            failed = true;
            throw e;
        }
    }

    private void rewrite() throws IOException {
        hasCoveredEntries = false;
        file.replace(state.records().stream().map(LogRecordCodec::encode).toList());
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
        lock.close();
    }
}

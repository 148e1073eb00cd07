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
 * The persistent state of a voter, in a {@link RaftLogFile}. A rewrite of the file drops entries covered by a snapshot.
 *
 * <ol>
 * <li>State is synced before the voter makes a promise to other nodes that rests on it: each {@code persistAndFlush}
 *     method and {@link #flush} sync the file.
 * <li>After a failed write or sync nothing more is written, because the content of the file is not known any more.
 * <li>A file that belongs to another node or fleet, is open in another process or is corrupt is rejected, and this node
 *     does not vote: it could vote a second time in the same term.
 * </ol>
 */
final class RaftLogStore implements RaftStore, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.policy");

    private static final String LOCK_NAME = "policy.log.lock";

    /** The file is rewritten when it is larger than this and a snapshot covers some of its entries. */
    private static final long REWRITE_THRESHOLD_BYTES = 1 << 20;

    private final FileChannel lock;
    private RaftLogFile file;
    private final LogRecord.Header header;
    private final RaftLogState state;
    private boolean failed;
    private boolean hasCoveredEntries;

    /** Creates the log of one voter of a new group; throws IOException if the folder has one. */
    static void bootstrap(Path folder, String fleet, String node, List<String> voters) throws IOException {
        RaftLogFile.create(folder, LogRecordCodec.encode(new LogRecord.Header(fleet, node, voters)));
    }

    /** Whether a folder contains a log. */
    static boolean exists(Path folder) {
        return RaftLogFile.exists(folder);
    }

    /** Opens and reads the log of this node; the one-line IOException says why the log cannot be used. */
    RaftLogStore(Path folder, String fleet, String node) throws IOException {
        lock = FileChannel.open(folder.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (lock.tryLock() == null) {
                throw new IOException(folder + ": locked by another process");
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
            throw new IOException(folder + ": already locked by this process", e);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private LogRecord.Header readHeader(List<byte[]> bodies, String fleet, String node) throws IOException {
        if (bodies.isEmpty()) {
            throw new IOException(file.path() + ": does not start with the header of a policy log");
        }
        LogRecord.Header found;
        try {
            found = LogRecordCodec.decodeHeader(bodies.get(0));
        } catch (MalformedMessageException e) {
            throw new IOException(file.path() + ": " + e.getMessage(), e);
        }
        if (!found.fleet().equals(fleet) || !found.node().equals(node)) {
            throw new IOException(file.path() + ": belongs to node " + found.node() + " of fleet " + found.fleet()
                    + ", opened by node " + node + " of fleet " + fleet);
        }
        return found;
    }

    private LogRecord readRecord(byte[] body) throws IOException {
        try {
            return LogRecordCodec.decode(body);
        } catch (MalformedMessageException | RuntimeException e) {
            throw new IOException(file.path() + ": invalid record: " + e.getMessage(), e);
        }
    }

    /** The voters of the group at its creation. */
    List<String> voters() {
        return header.voters();
    }

    /** The state to start the Raft library with, or null if the log holds none yet. */
    RestoredRaftState restoredState() {
        return state.toRestoredState();
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

    /** Appends a record, and syncs the file unless the sync point is null. */
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
                    file.path() + ": write failed, this node stops voting on policy versions: " + e.getMessage());
            throw e;
        }
    }

    private void checkNotFailed() throws IOException {
        if (failed) {
            throw new IOException("an earlier write to the policy log failed, no more records are written");
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
        file.replace(state.toRecords().stream().map(LogRecordCodec::encode).toList());
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
        lock.close();
    }
}

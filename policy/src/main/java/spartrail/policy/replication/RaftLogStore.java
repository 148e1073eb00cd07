package spartrail.policy.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * What a deciding node must not forget, in one file that only grows, until what a snapshot covers is left out of a new one that
 * takes its place by rename.
 *
 * <pre>
 *  file     record ...                     the first one: form, fleet, node, deciders
 *  record   length (4) its complement (4)  CRC-32C of the body; the body is a CBOR list, its first value the kind
 *           crc (4) body
 * </pre>
 *
 * <ol>
 * <li>No word is given before what it rests on is synced: each call that says so, and {@link #flush}, syncs.
 * <li>A record whose head is whole or cut off, and that ends with the file before its length, is a torn tail: it was
 * never synced, no word rests on it, it is cut off.
 * <li>A record that is whole and whose sum is wrong may have been synced, and a word given: the file is not used, the node does
 *     not vote.
 * <li>Once a write or a sync has failed nothing more is written: what the file holds then is not known.
 * </ol>
 */
final class RaftLogStore implements RaftStore, AutoCloseable {
    /** What is synced, each before a word is given that rests on it. */
    static final List<String> SYNCED = List.of("SELF", "GROUP", "TERM", "FLUSH", "ANEW");

    private static final int FORM = 1;
    private static final int HEAD = 12;
    private static final int MOST_RECORD = 1 << 22;
    /** A file is written anew when it is so large and a snapshot has made some of it needless. */
    private static final long LARGE = 1 << 20;

    private static final String NAME = "policy.log";

    /** Drills have a disk that is full after so many bytes. */
    private static final long ROOM = Long.getLong("spartrail.disk.mostBytes", Long.MAX_VALUE);

    private final Path folder;
    private final List<String> deciders;
    private final List<?> first;
    private FileChannel channel;
    private final FileChannel guard;
    private long size;
    private boolean broken;
    private boolean needless;

    private RaftEndpointPersistentState self;
    private RaftGroupMembersView group;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    /** Makes the file of a node of a new set; an IOException where there is one. */
    static void bootstrap(Path folder, String fleet, String node, List<String> deciders) throws IOException {
        Files.createDirectories(folder);
        Path fresh = folder.resolve(NAME + ".new");
        try (FileChannel out = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            writeAll(out, record(List.of("FIRST", FORM, fleet, node, deciders)));
            out.force(true);
        }
        if (Files.exists(folder.resolve(NAME))) {
            Files.delete(fresh);
            throw new IOException(folder.resolve(NAME) + ": is there already");
        }
        Files.move(fresh, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
        sync(folder);
    }

    static boolean exists(Path folder) {
        return Files.exists(folder.resolve(NAME));
    }

    /** Reads the file of this node; an IOException says in one line why it cannot be used. */
    RaftLogStore(Path folder, String fleet, String node) throws IOException {
        this.folder = folder;
        Path file = folder.resolve(NAME);
        guard = FileChannel.open(folder.resolve(NAME + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (guard.tryLock() == null) {
                throw new IOException(folder + ": another process uses it");
            }
            channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
            first = take(file, read(file), fleet, node);
            deciders = PolicyMessageCodec.names(first.get(4));
        } catch (OverlappingFileLockException e) {
            close();
            throw new IOException(folder + ": this process uses it already", e);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private List<?> take(Path file, List<List<?>> records, String fleet, String node) throws IOException {
        if (records.isEmpty() || !"FIRST".equals(records.get(0).get(0))) {
            throw new IOException(file + ": does not begin as the log of policy does");
        }
        List<?> head = records.get(0);
        if (PolicyMessageCodec.intAt(head, 1) != FORM) {
            throw new IOException(file + ": is of form " + head.get(1) + ", this program reads form " + FORM);
        }
        if (!head.get(2).equals(fleet) || !head.get(3).equals(node)) {
            throw new IOException(file + ": is that of " + head.get(3) + " in " + head.get(2) + ", found by " + node
                    + " in " + fleet);
        }
        for (List<?> each : records.subList(1, records.size())) {
            try {
                taken(each);
            } catch (RuntimeException e) {
                throw new IOException(file + ": a record cannot be read: " + each.get(0), e);
            }
        }
        return head;
    }

    private List<List<?>> read(Path file) throws IOException {
        List<List<?>> records = new ArrayList<>();
        ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
        while (all.remaining() > 0) {
            int at = all.position();
            int length = all.remaining() < HEAD ? MOST_RECORD : all.getInt(at);
            // Danger: a spoilt length that points beyond the end would look like a torn tail, and cut off what was
            // synced.
            if (length < 0 || length > MOST_RECORD || all.remaining() >= HEAD && all.getInt(at + 4) != ~length) {
                throw new IOException(file + ": the record at byte " + at + " is spoilt");
            }
            if (all.remaining() - HEAD < length) {
                System.getLogger("spartrail.governing")
                        .log(
                                System.Logger.Level.WARNING,
                                file + ": a torn tail of " + all.remaining()
                                        + " bytes, which was never synced, is cut off");
                channel.truncate(at);
                channel.force(true);
                break;
            }
            byte[] body = new byte[length];
            int crc = all.getInt(at + 8);
            all.position(at + HEAD).get(body);
            if (crc != crc(body)) {
                throw new IOException(file + ": the record at byte " + at + " is spoilt: its sum is wrong");
            }
            records.add(PolicyMessageCodec.plain(body));
        }
        size = channel.size();
        channel.position(size);
        return records;
    }

    private void taken(List<?> record) {
        switch ((String) record.get(0)) {
            case "SELF" -> self = RaftMessageCodec.MODEL
                    .createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(Voter.endpointOrNull(record.get(1)))
                    .setVoting((Boolean) record.get(2))
                    .build();
            case "GROUP" -> group = RaftMessageCodec.group((List<?>) record.get(1));
            case "TERM" -> term = RaftMessageCodec.MODEL
                    .createRaftTermPersistentStateBuilder()
                    .setTerm(PolicyMessageCodec.intAt(record, 1))
                    .setVotedFor(Voter.endpointOrNull(record.get(2)))
                    .build();
            case "ENTRY" -> {
                LogEntry entry = RaftMessageCodec.entry((List<?>) record.get(1));
                entries.put(entry.getIndex(), entry);
            }
            case "FROM" -> entries.tailMap(PolicyMessageCodec.longAt(record, 1), true)
                    .clear();
            case "UNTIL" -> entries.headMap(PolicyMessageCodec.longAt(record, 1), true)
                    .clear();
            case "CHUNK" -> {
                SnapshotChunk chunk = RaftMessageCodec.chunk((List<?>) record.get(1));
                chunks.computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
                        .put(chunk.getSnapshotChunkIndex(), chunk);
            }
            case "DROP" -> chunks.remove(PolicyMessageCodec.longAt(record, 1));
            default -> throw new IllegalArgumentException("unknown record " + record.get(0));
        }
    }

    /** The deciders of the set as it was founded. */
    List<String> voters() {
        return deciders;
    }

    /** What the library begins with, or null where nothing was kept yet. */
    RestoredRaftState restored() {
        if (self == null || group == null || term == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> parts : chunks.values()) {
            SnapshotChunk one = parts.firstEntry().getValue();
            if (parts.size() == one.getSnapshotChunkCount()) {
                snapshot = RaftMessageCodec.MODEL
                        .createSnapshotEntryBuilder()
                        .setIndex(one.getIndex())
                        .setTerm(one.getTerm())
                        .setSnapshotChunks(new ArrayList<>(parts.values()))
                        .setGroupMembersView(one.getGroupMembersView())
                        .build();
            }
        }
        long from = snapshot == null ? 0 : snapshot.getIndex();
        return new RestoredRaftState(
                self,
                group,
                term,
                snapshot,
                new ArrayList<>(entries.tailMap(from, false).values()));
    }

    // ---- Writing ----

    private void write(List<?> record, boolean synced) throws IOException {
        if (broken) {
            throw new IOException("the log of policy is broken off");
        }
        try {
            ByteBuffer bytes = record(record);
            if (size + bytes.remaining() > ROOM) {
                throw new IOException("no room on the disk");
            }
            size += bytes.remaining();
            writeAll(channel, bytes);
            if (synced) {
                CrashPoint.reached("before", "syncing", (String) record.get(0));
                channel.force(false);
                CrashPoint.reached("after", "syncing", (String) record.get(0));
            }
        } catch (IOException e) {
            broken = true;
            System.getLogger("spartrail.governing")
                    .log(
                            System.Logger.Level.ERROR,
                            folder.resolve(NAME) + ": cannot be written, this node decides about policy no more: "
                                    + e.getMessage());
            throw e;
        }
        taken(record);
    }

    private static ByteBuffer record(List<?> plain) {
        byte[] body = PolicyMessageCodec.bytes(plain);
        return ByteBuffer.allocate(HEAD + body.length)
                .putInt(body.length)
                .putInt(~body.length)
                .putInt(crc(body))
                .put(body)
                .flip();
    }

    private static int crc(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    private static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel entry = FileChannel.open(folder, StandardOpenOption.READ)) {
            entry.force(true);
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        write(List.of("SELF", Voter.nameOf(state.getLocalEndpoint()), state.isVoting()), true);
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        write(List.of("GROUP", RaftMessageCodec.plain(members)), true);
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        write(List.of("TERM", state.getTerm(), Voter.nameOf(state.getVotedFor())), true);
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            write(List.of("ENTRY", RaftMessageCodec.plain(entry)), false);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        write(List.of("CHUNK", RaftMessageCodec.plain(chunk)), false);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write(List.of("FROM", index), false);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write(List.of("UNTIL", index), false);
        needless = true;
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        write(List.of("DROP", index), false);
    }

    @Override
    public void flush() throws IOException {
        if (broken) {
            throw new IOException("the log of policy is broken off");
        }
        try {
            CrashPoint.reached("before", "syncing", "FLUSH");
            channel.force(false);
            CrashPoint.reached("after", "syncing", "FLUSH");
            if (needless && size > LARGE) {
                anew();
            }
        } catch (IOException e) {
            broken = true;
            throw e;
        }
    }

    /** Writes a file of what still counts and puts it in the place of the old one. */
    private void anew() throws IOException {
        needless = false;
        Path fresh = folder.resolve(NAME + ".new");
        FileChannel out = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        List<List<?>> records = new ArrayList<>();
        records.add(first);
        records.add(List.of("SELF", Voter.nameOf(self.getLocalEndpoint()), self.isVoting()));
        records.add(List.of("GROUP", RaftMessageCodec.plain(group)));
        records.add(List.of("TERM", term.getTerm(), Voter.nameOf(term.getVotedFor())));
        chunks.values().forEach(parts -> parts.values()
                .forEach(chunk -> records.add(List.of("CHUNK", RaftMessageCodec.plain(chunk)))));
        entries.values().forEach(entry -> records.add(List.of("ENTRY", RaftMessageCodec.plain(entry))));
        for (List<?> record : records) {
            writeAll(out, record(record));
        }
        CrashPoint.reached("before", "syncing", "ANEW");
        out.force(true);
        CrashPoint.reached("after", "syncing", "ANEW");
        Files.move(fresh, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        sync(folder);
        channel.close();
        channel = out;
        size = out.size();
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
        guard.close();
    }
}

package spartrail.policy.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * An append-only file of checksummed records, which is rewritten as a whole to compact it.
 *
 * <pre>
 *  record   length (4)  complement of the length (4)  CRC-32C of the body (4)  body
 * </pre>
 *
 * <ol>
 * <li>An incomplete record at the end of the file, with a complete or an incomplete head, is a torn tail. It was never
 *     synced and no promise to other nodes rests on it, so it is cut off.
 * <li>A complete record with a wrong checksum may have been synced: the file is rejected. A file with a length that
 *     does not match its complement is rejected too, because a corrupt length that points beyond the end would look
 *     like a torn tail.
 * </ol>
 */
final class RaftLogFile implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.policy");

    private static final String NAME = "policy.log";
    private static final int HEAD_BYTES = 12;
    private static final int COMPLEMENT_OFFSET = 4;
    private static final int CHECKSUM_OFFSET = 8;
    private static final int MAX_RECORD_BYTES = 1 << 22;

    /** Drills set a low capacity to simulate a full disk. */
    private static final long DISK_CAPACITY_BYTES = Long.getLong("spartrail.disk.mostBytes", Long.MAX_VALUE);

    private final Path folder;
    private final Path file;
    private FileChannel channel;
    private long sizeBytes;

    /** Opens the existing file in a folder. */
    RaftLogFile(Path folder) throws IOException {
        this.folder = folder;
        this.file = folder.resolve(NAME);
        this.channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    /** Whether the file exists in a folder. */
    static boolean exists(Path folder) {
        return Files.exists(folder.resolve(NAME));
    }

    /** Creates the file in a folder with its first record; throws IOException if it exists. */
    static void create(Path folder, byte[] firstBody) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(NAME);
        Path temporary = temporaryFile(folder);
        try (FileChannel out = openNew(temporary)) {
            writeAll(out, frame(firstBody));
            out.force(true);
        }
        if (Files.exists(file)) {
            Files.delete(temporary);
            throw new IOException(file + ": already exists");
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(folder);
    }

    /** The path of the file. */
    Path path() {
        return file;
    }

    /** The size of the file, with records that are appended but not synced. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** Reads the bodies of all records and cuts off a torn tail; later records are appended after the last one. */
    List<byte[]> readAll() throws IOException {
        List<byte[]> bodies = new ArrayList<>();
        ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
        while (all.hasRemaining()) {
            byte[] body = readBody(all);
            if (body == null) {
                cutTornTail(all);
                break;
            }
            bodies.add(body);
        }
        sizeBytes = channel.size();
        channel.position(sizeBytes);
        return bodies;
    }

    /** The body of the record at the buffer's position, or null if the record is torn. */
    private byte[] readBody(ByteBuffer all) throws IOException {
        int start = all.position();
        if (all.remaining() < HEAD_BYTES) {
            return null;
        }
        int length = all.getInt(start);
        boolean isValidLength = length >= 0 && length <= MAX_RECORD_BYTES;
        if (!isValidLength || all.getInt(start + COMPLEMENT_OFFSET) != ~length) {
            throw new IOException(file + ": the record at byte " + start + " is corrupt");
        }
        if (all.remaining() - HEAD_BYTES < length) {
            return null;
        }
        byte[] body = new byte[length];
        all.position(start + HEAD_BYTES).get(body);
        if (all.getInt(start + CHECKSUM_OFFSET) != computeChecksum(body)) {
            throw new IOException(file + ": the record at byte " + start + " is corrupt: its checksum is wrong");
        }
        return body;
    }

    private void cutTornTail(ByteBuffer all) throws IOException {
        LOG.log(
                System.Logger.Level.WARNING,
                file + ": cutting off a torn tail of " + all.remaining() + " bytes, which was never synced");
        channel.truncate(all.position());
        channel.force(true);
    }

    /** Appends a record, which {@link #sync} makes durable. */
    void append(byte[] body) throws IOException {
        ByteBuffer frame = frame(body);
        if (sizeBytes + frame.remaining() > DISK_CAPACITY_BYTES) {
            throw new IOException("no space left on the disk, which holds " + DISK_CAPACITY_BYTES + " bytes");
        }
        sizeBytes += frame.remaining();
        writeAll(channel, frame);
    }

    /** Makes all appended records durable. */
    void sync(SyncPoint point) throws IOException {
        sync(channel, point, false);
    }

    private static void sync(FileChannel channel, SyncPoint point, boolean metadata) throws IOException {
        CrashPoint.haltIfArmedBefore(CrashPoint.Activity.SYNCING, point.crashPointName());
        channel.force(metadata);
        CrashPoint.haltIfArmedAfter(CrashPoint.Activity.SYNCING, point.crashPointName());
    }

    /** Replaces this file atomically by one that holds only these records. */
    void replace(List<byte[]> bodies) throws IOException {
        Path temporary = temporaryFile(folder);
        FileChannel out = openNew(temporary);
        for (byte[] body : bodies) {
            writeAll(out, frame(body));
        }
        sync(out, SyncPoint.REWRITE, true);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder(folder);
        channel.close();
        channel = out;
        sizeBytes = out.size();
    }

    private static Path temporaryFile(Path folder) {
        return folder.resolve(NAME + ".new");
    }

    private static FileChannel openNew(Path path) throws IOException {
        return FileChannel.open(
                path, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
    }

    private static ByteBuffer frame(byte[] body) {
        return ByteBuffer.allocate(HEAD_BYTES + body.length)
                .putInt(body.length)
                .putInt(~body.length)
                .putInt(computeChecksum(body))
                .put(body)
                .flip();
    }

    private static int computeChecksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    private static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Makes the directory entries of a folder durable. */
    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

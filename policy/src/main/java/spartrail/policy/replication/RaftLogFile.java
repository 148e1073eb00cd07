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
 * A file of checksummed records that only grows until it is rewritten.
 *
 * <pre>
 *  record   length (4)  its complement (4)  CRC-32C of the body (4)  body
 * </pre>
 *
 * <ol>
 * <li>A record whose head is whole or cut off, and that ends with the file before its length, is a torn tail: it was never
 *     synced, nothing was promised on it, it is cut off.
 * <li>A record that is whole and whose checksum is wrong may have been synced: the file is refused. So is one whose length does
 *     not fit its complement, as a corrupt length that points beyond the end would look like a torn tail.
 * </ol>
 */
final class RaftLogFile implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.policy");

    private static final String NAME = "policy.log";
    private static final int HEAD_BYTES = 12;
    private static final int COMPLEMENT_OFFSET = 4;
    private static final int CHECKSUM_OFFSET = 8;
    private static final int MAX_RECORD_BYTES = 1 << 22;

    /** Drills have a disk that is full after so many bytes. */
    private static final long DISK_CAPACITY_BYTES = Long.getLong("spartrail.disk.mostBytes", Long.MAX_VALUE);

    private final Path folder;
    private final Path file;
    private FileChannel channel;
    private long sizeBytes;

    /** Opens the file of a folder. */
    RaftLogFile(Path folder) throws IOException {
        this.folder = folder;
        this.file = folder.resolve(NAME);
        this.channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    /** Whether a folder has the file. */
    static boolean exists(Path folder) {
        return Files.exists(folder.resolve(NAME));
    }

    /** Makes the file of a folder with its first record; an IOException where there is one. */
    static void create(Path folder, byte[] firstBody) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(NAME);
        Path temporary = temporary(folder);
        try (FileChannel out = openNew(temporary)) {
            writeAll(out, frame(firstBody));
            out.force(true);
        }
        if (Files.exists(file)) {
            Files.delete(temporary);
            throw new IOException(file + ": is there already");
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(folder);
    }

    /** Where the file is. */
    Path path() {
        return file;
    }

    /** The size with all that was appended. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** The bodies of all records; cuts off a torn tail, and what is appended follows after the last record. */
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

    /** The body of the record that begins here, or null where that is torn. */
    private byte[] readBody(ByteBuffer all) throws IOException {
        int start = all.position();
        if (all.remaining() < HEAD_BYTES) {
            return null;
        }
        int length = all.getInt(start);
        boolean validLength = length >= 0 && length <= MAX_RECORD_BYTES;
        if (!validLength || all.getInt(start + COMPLEMENT_OFFSET) != ~length) {
            throw new IOException(file + ": the record at byte " + start + " is corrupt");
        }
        if (all.remaining() - HEAD_BYTES < length) {
            return null;
        }
        byte[] body = new byte[length];
        all.position(start + HEAD_BYTES).get(body);
        if (all.getInt(start + CHECKSUM_OFFSET) != checksum(body)) {
            throw new IOException(file + ": the record at byte " + start + " is corrupt: its checksum is wrong");
        }
        return body;
    }

    private void cutTornTail(ByteBuffer all) throws IOException {
        LOG.log(
                System.Logger.Level.WARNING,
                file + ": a torn tail of " + all.remaining() + " bytes, which was never synced, is cut off");
        channel.truncate(all.position());
        channel.force(true);
    }

    /** Adds a record, which {@link #sync} makes durable. */
    void append(byte[] body) throws IOException {
        ByteBuffer frame = frame(body);
        if (sizeBytes + frame.remaining() > DISK_CAPACITY_BYTES) {
            throw new IOException("no room on the disk");
        }
        sizeBytes += frame.remaining();
        writeAll(channel, frame);
    }

    /** All that was appended is on the disk afterwards. */
    void sync(SyncPoint point) throws IOException {
        sync(channel, point, false);
    }

    private static void sync(FileChannel channel, SyncPoint point, boolean metadata) throws IOException {
        CrashPoint.before(CrashPoint.Activity.SYNCING, point.crashPointName());
        channel.force(metadata);
        CrashPoint.after(CrashPoint.Activity.SYNCING, point.crashPointName());
    }

    /** Writes a file of these records alone and puts it in the place of this one. */
    void replace(List<byte[]> bodies) throws IOException {
        Path temporary = temporary(folder);
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

    private static Path temporary(Path folder) {
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
                .putInt(checksum(body))
                .put(body)
                .flip();
    }

    private static int checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    private static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Makes the names in a folder durable. */
    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel entry = FileChannel.open(folder, StandardOpenOption.READ)) {
            entry.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

package spartrail.record;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import spartrail.client.ClientQuery;

/**
 * Writes one JSON line for each multiget taken, without its text, on a thread of its own. What comes faster than the disk takes it is
 * dropped and counted; at the bound the record ends, with a complete last line.
 */
public final class MultigetRecord implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.record");
    /** What waits here keeps its texts, so a disk that hangs must not fill the heap with them. */
    private static final int MAX_QUEUED = 512;

    private static final int FLUSH_INTERVAL_MS = 500;
    private static final int CLOSE_TIMEOUT_MS = 5000;
    private static final int BUFFER_BYTES = 32 * 1024;

    private final ArrayBlockingQueue<RecordEntry> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final RecordEncoder encoder = new RecordEncoder();
    private final OutputStream out;
    private final long maxBytes;
    private final Thread thread;
    private final AtomicLong dropped = new AtomicLong();
    private long writtenBytes;
    private long writtenLines;
    private volatile boolean full;
    private volatile boolean closed;

    /** Begins a new file; an IOException where it cannot be written, before the node serves. */
    public MultigetRecord(Path file, long maxBytes) throws IOException {
        this.out = new BufferedOutputStream(Files.newOutputStream(file), BUFFER_BYTES);
        this.maxBytes = maxBytes;
        this.thread = new Thread(this::run, "spartrail-record");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Records a multiget. Never waits.
     *
     * @param atMs when it came
     * @param decidedNs the machine's monotonic clock when it was decided by what it is decided
     * @param version the policy version that decides it; empty where there are none
     */
    public void append(ClientQuery query, double atMs, long decidedNs, String version) {
        if (!full && !queue.offer(new RecordEntry(atMs, decidedNs, version, query))) {
            dropped.incrementAndGet();
        }
    }

    /** How many multigets the record lacks because the disk was too slow. */
    public long droppedCount() {
        return dropped.get();
    }

    /** The thread's task; what ends it loses the entries that are queued. */
    private void run() {
        try (out) {
            writeEntries();
        } catch (IOException e) {
            full = true;
            LOG.log(System.Logger.Level.WARNING, "record broken off: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        queue.clear();
        LOG.log(
                System.Logger.Level.INFO,
                "record: " + writtenLines + " multigets, " + writtenBytes + " bytes, " + dropped + " left out");
    }

    private void writeEntries() throws IOException, InterruptedException {
        boolean flushed = true;
        while (!closed || !queue.isEmpty()) {
            RecordEntry next = queue.poll(FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
            if (next != null) {
                byte[] line = encoder.encodeLine(next);
                if (writtenBytes + line.length > maxBytes) {
                    full = true;
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "record full after " + writtenLines + " multigets, nothing more is kept");
                    return;
                }
                out.write(line);
                writtenBytes += line.length;
                writtenLines++;
                flushed = false;
            }
            // With nothing queued, so that a process that is killed loses nothing of what it decided a moment before.
            boolean isCaughtUp = next == null || queue.isEmpty();
            if (!flushed && isCaughtUp) {
                out.flush();
                flushed = true;
            }
        }
    }

    /** Writes what waits and ends the file. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.join(CLOSE_TIMEOUT_MS);
    }
}

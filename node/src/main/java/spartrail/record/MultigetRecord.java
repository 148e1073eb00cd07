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
 * Writes one JSON line for each received multiget, without its text, on its own thread. If multigets arrive faster than
 * the disk can write, lines are dropped and counted. The record ends with a complete line before it exceeds its size
 * limit.
 */
public final class MultigetRecord implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.record");
    /** Queued entries hold the texts of their queries, which must not fill the heap while the disk hangs. */
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

    /** Creates the file and starts the thread; an IOException if the file cannot be written, before the node serves. */
    public MultigetRecord(Path file, long maxBytes) throws IOException {
        this.out = new BufferedOutputStream(Files.newOutputStream(file), BUFFER_BYTES);
        this.maxBytes = maxBytes;
        this.thread = new Thread(this::run, "spartrail-record");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Records a multiget. Never blocks.
     *
     * @param atMs the time of its arrival
     * @param decidedNs the machine's monotonic clock at the iteration that fixed the version
     * @param version the version of the settings that decides it; empty if there is none
     */
    public void append(ClientQuery query, double atMs, long decidedNs, String version) {
        if (!full && !queue.offer(new RecordEntry(atMs, decidedNs, version, query))) {
            dropped.incrementAndGet();
        }
    }

    /** The number of multigets that were dropped because the disk was too slow. */
    public long droppedCount() {
        return dropped.get();
    }

    /** The thread's task; entries that are queued when it ends are lost. */
    private void run() {
        try (out) {
            writeEntries();
        } catch (IOException e) {
            full = true;
            LOG.log(System.Logger.Level.WARNING, "cannot write the record, which ends here: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        queue.clear();
        LOG.log(
                System.Logger.Level.INFO,
                "record closed: " + writtenLines + " multigets, " + writtenBytes + " bytes, " + dropped + " dropped");
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
                            "record full after " + writtenLines + " multigets; further ones are not recorded");
                    return;
                }
                out.write(line);
                writtenBytes += line.length;
                writtenLines++;
                flushed = false;
            }
            // Flushes whenever the queue is empty, so that a killed process has recorded its last decisions.
            boolean isCaughtUp = next == null || queue.isEmpty();
            if (!flushed && isCaughtUp) {
                out.flush();
                flushed = true;
            }
        }
    }

    /** Writes the queued entries and closes the file. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.join(CLOSE_TIMEOUT_MS);
    }
}

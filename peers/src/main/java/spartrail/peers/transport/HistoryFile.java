package spartrail.peers.transport;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Appends lines to a file on its own thread. Callers never wait for the disk: if it stalls, lines are dropped and
 * counted.
 */
final class HistoryFile implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.peering");
    private static final int MAX_QUEUED_LINES = 4096;
    private static final long POLL_MS = 100;
    private static final long CLOSE_TIMEOUT_MS = 2000;

    private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final BufferedWriter out;
    private final long maxBytes;
    private final Thread thread;
    private final AtomicLong droppedLines = new AtomicLong();
    private volatile boolean closed;
    private volatile boolean stopped;

    /** Opens the file for appending, so that the history from before a restart is kept. */
    HistoryFile(Path file, long maxBytes) throws IOException {
        this.out = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.maxBytes = maxBytes;
        this.thread = new Thread(this::writeLines, "spartrail-history");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Queues a line; may be called from any thread. Lines are ignored, and not counted, if the file is full or has
     * failed.
     */
    void append(String line) {
        if (!stopped && !queue.offer(line + '\n')) {
            droppedLines.incrementAndGet();
        }
    }

    private void writeLines() {
        long bytes = 0;
        try (out) {
            while (!closed || !queue.isEmpty()) {
                String line = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
                if (line == null) {
                    continue;
                }
                if (bytes + line.length() > maxBytes) {
                    stopped = true;
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "history file has reached its limit: " + bytes + " of " + maxBytes
                                    + " bytes written; no more lines are recorded");
                    return;
                }
                out.write(line);
                bytes += line.length();
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (IOException e) {
            stopped = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "cannot write the history file: " + e.getMessage() + "; no more lines are recorded");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long droppedLines() {
        return droppedLines.get();
    }

    /** Writes the queued lines; returns when this is done or the timeout has passed. */
    @Override
    public void close() {
        closed = true;
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

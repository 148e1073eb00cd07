package spartrail.peers.transport;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Lines appended to a file by a thread of its own. A disk that stalls costs lines, which are counted, never a caller's time. */
final class HistoryFile implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.peering");
    private static final int MAX_WAITING_LINES = 4096;
    private static final long POLL_MS = 100;
    private static final long CLOSE_TIMEOUT_MS = 2000;

    private final ArrayBlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
    private final BufferedWriter out;
    private final long maxBytes;
    private final Thread thread;
    private final AtomicLong droppedLines = new AtomicLong();
    private volatile boolean closed;
    private volatile boolean ended;

    /** Goes on at the end of the file, so that what a process knew before its restart stays part of the history. */
    HistoryFile(Path file, long maxBytes) throws IOException {
        this.out = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.maxBytes = maxBytes;
        this.thread = new Thread(this::write, "spartrail-history");
        thread.setDaemon(true);
        thread.start();
    }

    /** Any thread may call this. After the file has ended lines are neither kept nor counted. */
    void append(String line) {
        if (!ended && !waiting.offer(line + '\n')) {
            droppedLines.incrementAndGet();
        }
    }

    private void write() {
        long bytes = 0;
        try (out) {
            while (!closed || !waiting.isEmpty()) {
                String line = waiting.poll(POLL_MS, TimeUnit.MILLISECONDS);
                if (line == null) {
                    continue;
                }
                if (bytes + line.length() > maxBytes) {
                    ended = true;
                    LOG.log(System.Logger.Level.WARNING, "history full at " + bytes + " bytes, nothing more is kept");
                    return;
                }
                out.write(line);
                bytes += line.length();
                if (waiting.isEmpty()) {
                    out.flush();
                }
            }
        } catch (IOException e) {
            ended = true;
            LOG.log(System.Logger.Level.WARNING, "history broken off: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long droppedLines() {
        return droppedLines.get();
    }

    /** Writes what waits, and returns when that is done or has taken too long. */
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

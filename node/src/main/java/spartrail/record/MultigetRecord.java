package spartrail.record;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
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
 * Writes one JSON line for each multiget taken: its time (Unix milliseconds), op type, key, shards, weights, work, size of
 * its text and its client's time; where policy has versions, also which one decided it, and when on the machine's
 * monotonic clock. Texts are not kept. What comes faster than the disk takes it is left out and counted;
 * at the bound the record ends, with a whole last line.
 */
public final class MultigetRecord implements AutoCloseable {
    private record Entry(double atMs, long decidedNs, String version, ClientQuery query) {}

    private static final System.Logger LOG = System.getLogger("spartrail.record");
    /** Danger: what waits here keeps its texts; a disk that stands still must not fill the heap with them. */
    private static final int MAX_QUEUED = 512;

    private static final int FLUSH_INTERVAL_MS = 500;

    private final ArrayBlockingQueue<Entry> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final JsonFactory jsonFactory = new JsonFactory();
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
        this.out = new BufferedOutputStream(Files.newOutputStream(file), 1 << 15);
        this.maxBytes = maxBytes;
        this.thread = new Thread(this::writeEntries, "spartrail-record");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * A multiget that came at this time has been taken. Never waits.
     *
     * @param ns the machine's monotonic clock when it was decided by what it is decided
     * @param policy by which version of policy; empty where there are none
     */
    public void append(ClientQuery query, double atMs, long decidedNs, String version) {
        if (!full && !queue.offer(new Entry(atMs, decidedNs, version, query))) {
            dropped.incrementAndGet();
        }
    }

    public long droppedCount() {
        return dropped.get();
    }

    private void writeEntries() {
        try (out) {
            boolean unflushed = false;
            while (!closed || !queue.isEmpty()) {
                Entry next = queue.poll(FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
                if (next == null) {
                    if (unflushed) {
                        out.flush();
                        unflushed = false;
                    }
                    continue;
                }
                byte[] encoded = encodeLine(next);
                if (writtenBytes + encoded.length > maxBytes) {
                    full = true;
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "record full after " + writtenLines + " multigets, nothing more is kept");
                    break;
                }
                out.write(encoded);
                writtenBytes += encoded.length;
                writtenLines++;
                unflushed = !queue.isEmpty();
                if (!unflushed) {
                    // Danger: who is killed would lose what it had decided a moment before.
                    out.flush();
                }
            }
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

    private byte[] encodeLine(Entry entry) throws IOException {
        java.io.ByteArrayOutputStream text = new java.io.ByteArrayOutputStream(160);
        ClientQuery query = entry.query();
        try (JsonGenerator generator = jsonFactory.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeNumberField("atMs", Math.round(entry.atMs() * 1000) / 1000.0);
            generator.writeStringField("opType", query.opType());
            generator.writeStringField("key", query.key() == null ? "" : query.key());
            generator.writeArrayFieldStart("shards");
            for (ClientQuery.QueriedPart part : query.parts()) {
                generator.writeNumber(part.shard());
            }
            generator.writeEndArray();
            generator.writeArrayFieldStart("weights");
            for (ClientQuery.QueriedPart part : query.parts()) {
                generator.writeNumber(part.weight());
            }
            generator.writeEndArray();
            generator.writeNumberField(
                    "workMs",
                    query.parts().stream()
                            .mapToDouble(ClientQuery.QueriedPart::costMs)
                            .average()
                            .orElse(0));
            generator.writeNumberField("textBytes", query.text().length);
            generator.writeNumberField("clientMs", query.clientLeftMs());
            generator.writeBooleanField("retry", query.retry());
            if (!entry.version().isEmpty()) {
                generator.writeStringField("policy", entry.version());
                generator.writeNumberField("ns", entry.decidedNs());
            }
            generator.writeEndObject();
        }
        text.write('\n');
        return text.toByteArray();
    }

    /** Writes what waits and ends the file. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.join(5000);
    }
}

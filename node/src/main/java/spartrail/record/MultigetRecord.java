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
    private record Taken(double atMs, long ns, String policy, ClientQuery ask) {}

    private static final System.Logger LOG = System.getLogger("spartrail.record");
    /** Danger: what waits here keeps its texts; a disk that stands still must not fill the heap with them. */
    private static final int MOST_WAITING = 512;

    private static final int FLUSHED_MS = 500;

    private final ArrayBlockingQueue<Taken> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final JsonFactory json = new JsonFactory();
    private final OutputStream out;
    private final long mostBytes;
    private final Thread thread;
    private final AtomicLong leftOut = new AtomicLong();
    private long bytes;
    private long lines;
    private volatile boolean full;
    private volatile boolean ended;

    /** Begins a new file; an IOException where it cannot be written, before the node serves. */
    public MultigetRecord(Path file, long mostBytes) throws IOException {
        this.out = new BufferedOutputStream(Files.newOutputStream(file), 1 << 15);
        this.mostBytes = mostBytes;
        this.thread = new Thread(this::write, "spartrail-record");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * A multiget that came at this time has been taken. Never waits.
     *
     * @param ns the machine's monotonic clock when it was decided by what it is decided
     * @param policy by which version of policy; empty where there are none
     */
    public void taken(ClientQuery ask, double atMs, long ns, String policy) {
        if (!full && !waiting.offer(new Taken(atMs, ns, policy, ask))) {
            leftOut.incrementAndGet();
        }
    }

    public long leftOut() {
        return leftOut.get();
    }

    private void write() {
        try (out) {
            boolean unflushed = false;
            while (!ended || !waiting.isEmpty()) {
                Taken next = waiting.poll(FLUSHED_MS, TimeUnit.MILLISECONDS);
                if (next == null) {
                    if (unflushed) {
                        out.flush();
                        unflushed = false;
                    }
                    continue;
                }
                byte[] line = line(next);
                if (bytes + line.length > mostBytes) {
                    full = true;
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "record full after " + lines + " multigets, nothing more is kept");
                    break;
                }
                out.write(line);
                bytes += line.length;
                lines++;
                unflushed = !waiting.isEmpty();
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
        waiting.clear();
        LOG.log(
                System.Logger.Level.INFO,
                "record: " + lines + " multigets, " + bytes + " bytes, " + leftOut + " left out");
    }

    private byte[] line(Taken taken) throws IOException {
        java.io.ByteArrayOutputStream text = new java.io.ByteArrayOutputStream(160);
        ClientQuery ask = taken.ask();
        try (JsonGenerator generator = json.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeNumberField("atMs", Math.round(taken.atMs() * 1000) / 1000.0);
            generator.writeStringField("opType", ask.opType());
            generator.writeStringField("key", ask.key() == null ? "" : ask.key());
            generator.writeArrayFieldStart("shards");
            for (ClientQuery.QueriedPart part : ask.parts()) {
                generator.writeNumber(part.shard());
            }
            generator.writeEndArray();
            generator.writeArrayFieldStart("weights");
            for (ClientQuery.QueriedPart part : ask.parts()) {
                generator.writeNumber(part.weight());
            }
            generator.writeEndArray();
            generator.writeNumberField(
                    "workMs",
                    ask.parts().stream()
                            .mapToDouble(ClientQuery.QueriedPart::costMs)
                            .average()
                            .orElse(0));
            generator.writeNumberField("textBytes", ask.text().length);
            generator.writeNumberField("clientMs", ask.clientLeftMs());
            generator.writeBooleanField("retry", ask.retry());
            if (!taken.policy().isEmpty()) {
                generator.writeStringField("policy", taken.policy());
                generator.writeNumberField("ns", taken.ns());
            }
            generator.writeEndObject();
        }
        text.write('\n');
        return text.toByteArray();
    }

    /** Writes what waits and ends the file. */
    @Override
    public void close() throws InterruptedException {
        ended = true;
        thread.join(5000);
    }
}

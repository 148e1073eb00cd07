package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerEvent;

/**
 * What a node knew and when, a JSON line each: {@code ns} is the machine's monotonic clock, the same for all processes on it,
 * so that histories of several can be merged. A disk that stands still costs lines, which are counted, never the node's time.
 */
final class MembershipHistory implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.peering");
    private static final int MOST_WAITING = 4096;

    private interface Fields {
        void to(JsonGenerator out) throws IOException;
    }

    private final ArrayBlockingQueue<String> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final JsonFactory json = new JsonFactory();
    private final BufferedWriter out;
    private final long mostBytes;
    private final Thread thread;
    private final AtomicLong leftOut = new AtomicLong();
    private volatile boolean ended;
    private volatile boolean full;

    MembershipHistory(Path file, long mostBytes) throws IOException {
        // A restarted process goes on in the same file: what its former life knew is part of the history.
        this.out = Files.newBufferedWriter(
                file, java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND);
        this.mostBytes = mostBytes;
        this.thread = new Thread(this::write, "spartrail-history");
        thread.setDaemon(true);
        thread.start();
    }

    /** A life of this node has begun. */
    void began(PeerDescriptor self) {
        line("began", self.name(), line -> {
            line.writeStringField("address", self.address());
            line.writeNumberField("startMs", self.incarnation().startMs());
            line.writeNumberField("nonce", self.incarnation().nonce());
        });
    }

    void changed(MembershipView view, PeerEvent event) {
        line("standing", view.name(), line -> {
            line.writeStringField("doubt", event.healthProblem());
            line.writeStringField("of", event.descriptor().name());
            line.writeStringField("address", event.descriptor().address());
            line.writeNumberField("startMs", event.descriptor().incarnation().startMs());
            line.writeNumberField("nonce", event.descriptor().incarnation().nonce());
            line.writeNumberField("turn", event.descriptor().refutations());
            line.writeStringField(
                    "was",
                    event.previousState() == null ? null : event.previousState().name());
            line.writeStringField(
                    "is", event.newState() == null ? null : event.newState().name());
            line.writeStringField("by", event.reporter());
            line.writeStringField("why", event.reason());
        });
    }

    /** How many, and whether in doubt; written where one of these has changed. */
    void view(MembershipView view) {
        line("view", view.name(), line -> {
            line.writeStringField("standing", view.state().name());
            line.writeStringField("doubt", view.healthProblem());
            line.writeNumberField("there", view.presentCount());
            line.writeNumberField("least", view.minCount());
            line.writeNumberField("most", view.maxCount());
        });
    }

    /** A line of another subsystem's. */
    void note(String what, String node, Map<String, ?> values) {
        line(what, node, line -> {
            for (Map.Entry<String, ?> value : values.entrySet()) {
                line.writeObjectField(value.getKey(), value.getValue());
            }
        });
    }

    private void line(String what, String node, Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator line = json.createGenerator(text)) {
            line.writeStartObject();
            line.writeNumberField("ns", System.nanoTime());
            line.writeStringField("what", what);
            line.writeStringField("node", node);
            fields.to(line);
            line.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("text in memory", e);
        }
        if (!full && !waiting.offer(text.append('\n').toString())) {
            leftOut.incrementAndGet();
        }
    }

    private void write() {
        long bytes = 0;
        try (out) {
            while (!ended || !waiting.isEmpty()) {
                String line = waiting.poll(100, TimeUnit.MILLISECONDS);
                if (line == null) {
                    continue;
                }
                if (bytes + line.length() > mostBytes) {
                    full = true;
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
            full = true;
            LOG.log(System.Logger.Level.WARNING, "history broken off: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long leftOut() {
        return leftOut.get();
    }

    @Override
    public void close() {
        ended = true;
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

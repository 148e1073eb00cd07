package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.Map;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerEvent;
import spartrail.peers.PeerState;

/**
 * Records changes of a node's view as JSON lines. {@code ns} is the machine's monotonic clock, which all processes on
 * the machine share, so that the histories of several processes can be merged. The format never changes, because tools
 * of other versions read it.
 */
final class MembershipHistory implements AutoCloseable {
    private interface FieldsWriter {
        void write(JsonGenerator line) throws IOException;
    }

    private final JsonFactory json = new JsonFactory();
    private final HistoryFile file;

    MembershipHistory(Path path, long maxBytes) throws IOException {
        file = new HistoryFile(path, maxBytes);
    }

    /** Records the start of an incarnation of this node. */
    void recordIncarnation(PeerDescriptor self) {
        append("began", self.name(), line -> {
            line.writeStringField("address", self.address());
            line.writeNumberField("startMs", self.incarnation().startMs());
            line.writeNumberField("nonce", self.incarnation().nonce());
        });
    }

    /** Records a change of a node's state in the view. */
    void recordChange(MembershipView view, PeerEvent event) {
        PeerDescriptor peer = event.descriptor();
        append("standing", view.name(), line -> {
            line.writeStringField("doubt", event.healthProblem());
            line.writeStringField("of", peer.name());
            line.writeStringField("address", peer.address());
            line.writeNumberField("startMs", peer.incarnation().startMs());
            line.writeNumberField("nonce", peer.incarnation().nonce());
            line.writeNumberField("turn", peer.refutations());
            line.writeStringField("was", nameOrNull(event.previousState()));
            line.writeStringField("is", nameOrNull(event.newState()));
            line.writeStringField("by", event.reporter());
            line.writeStringField("why", event.reason());
        });
    }

    private static String nameOrNull(PeerState state) {
        return state == null ? null : state.name();
    }

    /** Records a change of the view's counts or of the local health. */
    void recordView(MembershipView view) {
        append("view", view.name(), line -> {
            line.writeStringField("standing", view.state().name());
            line.writeStringField("doubt", view.healthProblem());
            line.writeNumberField("there", view.presentCount());
            line.writeNumberField("least", view.minCount());
            line.writeNumberField("most", view.maxCount());
        });
    }

    /** Records an event of a channel, with fields that the channel defines. */
    void recordChannelEvent(String event, String node, Map<String, ?> fields) {
        append(event, node, line -> {
            for (Map.Entry<String, ?> field : fields.entrySet()) {
                line.writeObjectField(field.getKey(), field.getValue());
            }
        });
    }

    private void append(String event, String node, FieldsWriter fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator line = json.createGenerator(text)) {
            line.writeStartObject();
            line.writeNumberField("ns", System.nanoTime());
            line.writeStringField("what", event);
            line.writeStringField("node", node);
            fields.write(line);
            line.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode a history line in memory", e);
        }
        file.append(text.toString());
    }

    long droppedLines() {
        return file.droppedLines();
    }

    @Override
    public void close() {
        file.close();
    }
}

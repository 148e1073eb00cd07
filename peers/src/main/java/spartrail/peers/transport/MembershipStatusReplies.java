package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import spartrail.peers.MembershipView;

/**
 * What a running node tells its operators. A question is {@code show FROM}: a reply is one JSON object in one datagram, the
 * view's head, some peers from that number on, and {@code next}, the number to ask for next or -1. So a reply is bounded, and a
 * view of any size can be read.
 */
final class MembershipStatusReplies {
    private static final int PEERS_A_PAGE = 4;

    private MembershipStatusReplies() {}

    static void to(
            String question, MembershipView view, Map<String, Long> counts, String fleet, Consumer<byte[]> send) {
        String[] words = question.split(" ");
        if (words.length != 2 || !words[0].equals("show") || !words[1].matches("[0-9]{1,5}")) {
            return;
        }
        int from = Integer.parseInt(words[1]);
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            if (from == 0) {
                head(out, view, counts);
            }
            List<MembershipView.Entry> page = view.peers().stream()
                    .skip(from)
                    .limit(from == 0 ? 0 : PEERS_A_PAGE)
                    .toList();
            if (from > 0) {
                page = view.peers().stream().skip(from - 1L).limit(PEERS_A_PAGE).toList();
            }
            out.writeArrayFieldStart("peers");
            for (MembershipView.Entry seen : page) {
                seen(out, seen, view.atMs());
            }
            out.writeEndArray();
            int next = from == 0 ? 1 : from + page.size();
            out.writeNumberField("next", next > view.peers().size() ? -1 : next);
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("text in memory", e);
        }
        send.accept(PeerMessageCodec.encodeText(fleet, PeerMessageCodec.ADMIN_RESPONSE_CHANNEL, text.toString()));
    }

    private static void head(JsonGenerator out, MembershipView view, Map<String, Long> counts) throws IOException {
        out.writeStringField("name", view.name());
        out.writeStringField("standing", view.state().name());
        out.writeStringField("doubt", view.healthProblem());
        out.writeNumberField("there", view.presentCount());
        out.writeNumberField("least", view.minCount());
        out.writeNumberField("most", view.maxCount());
        out.writeObjectFieldStart("counts");
        for (Map<String, Long> each : List.of(view.counters(), counts)) {
            for (Map.Entry<String, Long> count : new java.util.TreeMap<>(each).entrySet()) {
                out.writeNumberField(count.getKey(), count.getValue());
            }
        }
        out.writeEndObject();
    }

    private static void seen(JsonGenerator out, MembershipView.Entry seen, double nowMs) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", seen.descriptor().name());
        out.writeStringField("address", seen.descriptor().address());
        out.writeStringField("zone", seen.descriptor().zone());
        out.writeNumberField("weight", seen.descriptor().weight());
        out.writeStringField("program", seen.descriptor().programVersion());
        out.writeStringField("settings", seen.descriptor().settingsVersion());
        out.writeNumberField("startMs", seen.descriptor().incarnation().startMs());
        out.writeNumberField("turn", seen.descriptor().refutations());
        out.writeStringField("standing", seen.state().name());
        out.writeNumberField("sinceMs", Math.round(nowMs - seen.stateSinceMs()));
        out.writeStringField("from", seen.reporter());
        out.writeStringField("sure", confidenceText(seen.confidence()));
        if (!Double.isNaN(seen.lastAckMs())) {
            out.writeNumberField("heardMs", Math.round(nowMs - seen.lastAckMs()));
        }
        out.writeStringField("why", seen.reason());
        out.writeEndObject();
    }

    /** The texts that operators' tools of earlier versions read. */
    private static String confidenceText(MembershipView.Confidence confidence) {
        return switch (confidence) {
            case DIRECT -> "HEARD";
            case REPORTED -> "TOLD";
            case LOW -> "DOUBTED";
        };
    }
}
